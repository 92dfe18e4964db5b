//! Many clients that send prescribed bytes at the same time and then stay connected.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout of one connection attempt. A server that has stopped accepting still completes
/// connections until its backlog is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between rounds in which no client could send.
const IDLE_PAUSE: Duration = Duration::from_millis(5);

/// Bytes that are sent a number of times in succession.
#[derive(Clone, Debug)]
pub struct Section {
    /// Bytes of one repetition.
    pub bytes: Vec<u8>,
    /// Number of repetitions.
    pub count: usize,
}

impl Section {
    /// Returns bytes that are sent once.
    pub fn once(bytes: impl Into<Vec<u8>>) -> Section {
        Section { bytes: bytes.into(), count: 1 }
    }

    /// Returns bytes that are sent `count` times.
    pub fn repeated(bytes: impl Into<Vec<u8>>, count: usize) -> Section {
        Section { bytes: bytes.into(), count }
    }
}

/// What each client of a crowd does.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Maximum number of bytes that a client sends before it is the next client's turn.
    pub piece_bytes: usize,
    /// Whether clients read responses.
    pub reads: bool,
}

/// Clients that send at the same time. They stay connected until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<Client>,
    behaviour: Behaviour,
}

#[derive(Debug)]
struct Client {
    /// `None` once the server has closed the connection.
    stream: Option<TcpStream>,
    sections: Vec<Section>,
    /// Position of the next byte: section, repetition and offset.
    position: (usize, usize, usize),
}

impl Crowd {
    /// Connects `count` clients. `script` returns what the client with an index sends. A client that
    /// is not accepted is left out.
    pub fn connect(
        addr: SocketAddr,
        count: usize,
        behaviour: Behaviour,
        script: impl Fn(usize) -> Vec<Section>,
    ) -> Crowd {
        let mut clients = Vec::new();
        for index in 0..count {
            let Ok(stream) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else { continue };
            if stream.set_nonblocking(true).is_ok() {
                let sections = script(index);
                clients.push(Client { stream: Some(stream), sections, position: (0, 0, 0) });
            }
        }
        Crowd { clients, behaviour }
    }

    /// Sends until all clients have sent everything or are disconnected, or `timeout` has passed.
    /// Calls `observe` after each round.
    pub fn send(&mut self, timeout: Duration, mut observe: impl FnMut()) {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let mut sent_bytes = 0;
            let mut pending = false;
            for client in &mut self.clients {
                sent_bytes += client.advance(self.behaviour);
                pending |= client.is_pending();
            }
            observe();
            if !pending {
                return;
            }
            if sent_bytes == 0 {
                std::thread::sleep(IDLE_PAUSE);
            }
        }
    }

    /// Returns the number of clients whose connections the server has not closed, as far as known.
    pub fn connected(&self) -> usize {
        self.clients.iter().filter(|client| client.stream.is_some()).count()
    }
}

impl Client {
    fn is_pending(&self) -> bool {
        self.stream.is_some() && self.position.0 < self.sections.len()
    }

    /// Sends up to one piece, and returns the number of bytes sent.
    fn advance(&mut self, behaviour: Behaviour) -> usize {
        let Some(stream) = &mut self.stream else { return 0 };
        if behaviour.reads && discard_available(stream).is_err() {
            self.stream = None;
            return 0;
        }
        let mut sent = 0;
        while sent < behaviour.piece_bytes {
            let (section_index, repetition, offset) = self.position;
            let Some(section) = self.sections.get(section_index) else { break };
            if repetition == section.count {
                self.position = (section_index + 1, 0, 0);
                continue;
            }
            let rest = &section.bytes[offset..];
            let piece = &rest[..rest.len().min(behaviour.piece_bytes - sent)];
            match stream.write(piece) {
                Ok(len) => {
                    sent += len;
                    let is_end = offset + len == section.bytes.len();
                    self.position = match is_end {
                        true => (section_index, repetition + 1, 0),
                        false => (section_index, repetition, offset + len),
                    };
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.stream = None;
                    break;
                }
            }
        }
        sent
    }
}

/// Reads and discards what has arrived.
///
/// # Errors
/// Fails if the server has closed the connection.
fn discard_available(stream: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
}
