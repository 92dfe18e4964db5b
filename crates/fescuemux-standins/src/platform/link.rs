//! TCP proxy on the loopback interface that can delay, reset or stall its connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Delay of each chunk with [`ProxyFault::Delayed`]: several round trips between instances.
const DELAY: Duration = Duration::from_millis(40);

/// Time between two checks of the fault while data is stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Injected fault of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// No fault.
    #[default]
    None,
    /// Delays data.
    Delayed,
    /// Closes a connection as soon as it transfers data.
    Reset,
    /// Stalls data from the client to the target until the fault ends.
    StallToTarget,
    /// Stalls data from the target to the client until the fault ends.
    StallFromTarget,
    /// Stalls both directions until the fault ends.
    StallBoth,
}

/// Direction of a data transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

#[derive(Debug, Default)]
struct Shared {
    fault: Mutex<ProxyFault>,
    stopped: AtomicBool,
}

impl Shared {
    fn fault(&self) -> ProxyFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stalls(&self, direction: Direction) -> bool {
        match self.fault() {
            ProxyFault::StallBoth => true,
            ProxyFault::StallToTarget => direction == Direction::ToTarget,
            ProxyFault::StallFromTarget => direction == Direction::FromTarget,
            ProxyFault::None | ProxyFault::Delayed | ProxyFault::Reset => false,
        }
    }
}

/// Running proxy. Dropping this value ends stalls and stops the proxy from accepting connections.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Listens on `addr` and forwards connections to `target_addr`.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr, target_addr: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let accept_shared = shared.clone();
        std::thread::spawn(move || {
            for client in listener.incoming() {
                if accept_shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(client) = client else { continue };
                let shared = accept_shared.clone();
                std::thread::spawn(move || {
                    // Without a connection to the target, the client's connection is closed.
                    if let Ok(target) = TcpStream::connect(target_addr) {
                        relay(&shared, client, target);
                    }
                });
            }
        });
        Ok(FaultProxy { addr, shared })
    }

    /// Returns the address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the injected fault for open and new connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accept loop. If connecting fails, the loop has ended already.
        let _ = TcpStream::connect(self.addr);
    }
}

/// Relays data between two connections until both directions have ended.
fn relay(shared: &Arc<Shared>, client: TcpStream, target: TcpStream) {
    let (Ok(to_client), Ok(to_target)) = (client.try_clone(), target.try_clone()) else { return };
    let response_shared = shared.clone();
    let thread = std::thread::spawn(move || {
        forward(&response_shared, Direction::FromTarget, target, to_client)
    });
    forward(shared, Direction::ToTarget, client, to_target);
    // If the thread panicked, the panic hook has already printed the panic.
    let _ = thread.join();
}

fn forward(shared: &Shared, direction: Direction, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf);
        let was_reset = read.is_err();
        let len = read.unwrap_or(0);
        while shared.stalls(direction) && !shared.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(STALL_CHECK_INTERVAL);
        }
        let fault = shared.fault();
        if fault == ProxyFault::Delayed {
            std::thread::sleep(DELAY);
        }
        if fault == ProxyFault::Reset {
            break;
        }
        if was_reset {
            // The connection is reset once the other direction has ended as well, which the end of
            // its stream causes. The receiving side may be closed already.
            let _ = socket2::SockRef::from(&to).set_linger(Some(Duration::ZERO));
            let _ = to.shutdown(Shutdown::Read);
            return;
        }
        if len == 0 {
            // The receiving side may be closed already.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    // With unread data left, the kernel resets the connection instead of closing it. Either side
    // may be closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
