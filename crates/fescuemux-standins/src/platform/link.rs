//! A loopback proxy whose connections are delayed, reset, cut one way or silenced.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Delay of each piece of data on a delayed link, several times a round trip between instances.
const DELAY: Duration = Duration::from_millis(40);

/// Pause between looks at the fault while data is held.
const HELD_PAUSE: Duration = Duration::from_millis(5);

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Passes data at once.
    #[default]
    None,
    /// Passes data late.
    Delayed,
    /// Breaks connections off as soon as data passes.
    Reset,
    /// Holds what the connecting side sends until the fault ends.
    StallToTarget,
    /// Holds what the other side sends until the fault ends.
    StallFromTarget,
    /// Holds both until the fault ends.
    StallBoth,
}

/// Direction of data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
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

    fn holds(&self, way: Way) -> bool {
        match self.fault() {
            ProxyFault::StallBoth => true,
            ProxyFault::StallToTarget => way == Way::There,
            ProxyFault::StallFromTarget => way == Way::Back,
            ProxyFault::None | ProxyFault::Delayed | ProxyFault::Reset => false,
        }
    }
}

/// A running proxy. It stops taking connections when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Listens at `addr` and passes connections on to `target`.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr, target: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for near in listener.incoming() {
                if accepting.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(near) = near else { continue };
                let shared = accepting.clone();
                std::thread::spawn(move || {
                    // A connection that the target does not take ends, as without the proxy.
                    if let Ok(far) = TcpStream::connect(target) {
                        join(&shared, near, far);
                    }
                });
            }
        });
        Ok(FaultProxy { addr, shared })
    }

    /// Returns the address at which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Puts a fault in force for open and new connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that takes connections; if that fails it is not waiting.
        let _ = TcpStream::connect(self.addr);
    }
}

/// Passes data between two connections until both sides have ended.
fn join(shared: &Arc<Shared>, near: TcpStream, far: TcpStream) {
    let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { return };
    let back = shared.clone();
    let thread = std::thread::spawn(move || pass(&back, Way::Back, far, near_out));
    pass(shared, Way::There, near, far_out);
    // A panic there has been printed already.
    let _ = thread.join();
}

fn pass(shared: &Shared, way: Way, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    loop {
        let len = from.read(&mut buf).unwrap_or(0);
        while shared.holds(way) && !shared.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(HELD_PAUSE);
        }
        let fault = shared.fault();
        if fault == ProxyFault::Delayed {
            std::thread::sleep(DELAY);
        }
        if fault == ProxyFault::Reset {
            break;
        }
        if len == 0 {
            // The other side may have ended already.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    // Data that is left unread makes the kernel reset the connection. Both may be gone already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
