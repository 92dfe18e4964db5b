//! Server that writes prescribed bytes as its answers, which may violate the protocol.

pub mod broken;
mod caller;
mod crowd;
mod refusals;
pub mod requests;
mod sound;

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

pub use caller::{CallerAnswer, call};
pub use crowd::{Behaviour, Crowd, Section};
pub use refusals::{refusals, unproved_refusals};
pub use sound::{SOUND_BODY, early_answers, sound_answers};

/// Part of [`RawAnswer::bytes`] that stands for the header lines with which a sound server proves
/// that the answer belongs to the request.
pub const PROOF: &[u8] = b"{proof}";

/// Time that a client gets to read an answer before its connection is reset.
const TIME_TO_READ: Duration = Duration::from_millis(20);

/// Time for which a server waits for its client to close a connection that it keeps open.
const MAX_KEPT_OPEN: Duration = Duration::from_secs(30);

/// What a server does after the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Reads the rest of the request and waits for the next one.
    KeepOpen,
    /// Closes the connection, which ends its stream cleanly.
    Close,
    /// Ends its stream cleanly, and reads on until the client closes.
    CloseAndReadOn,
    /// Reads the rest of the request, then closes the connection cleanly.
    CloseAfterRequest,
    /// Resets the connection.
    Reset,
}

/// Bytes that a server writes as an answer, and what it does before and after.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Name of the case.
    pub name: &'static str,
    /// Bytes of the answer. [`PROOF`] is replaced.
    pub bytes: Vec<u8>,
    /// What happens after the bytes were written.
    pub end: AnswerEnd,
    /// Whether the bytes are written before the body of the request is read.
    pub before_body: bool,
}

impl RawAnswer {
    /// Returns an answer that is written once the whole request was read.
    pub fn new(name: &'static str, bytes: impl Into<Vec<u8>>, end: AnswerEnd) -> RawAnswer {
        RawAnswer { name, bytes: bytes.into(), end, before_body: false }
    }

    /// Returns an answer that is written before the body of the request is read.
    pub fn early(name: &'static str, bytes: impl Into<Vec<u8>>, end: AnswerEnd) -> RawAnswer {
        RawAnswer { before_body: true, ..RawAnswer::new(name, bytes, end) }
    }

    /// Returns the bytes with `proof`, zero or more header lines with their line ends, in place of
    /// [`PROOF`].
    pub fn encode(&self, proof: &str) -> Vec<u8> {
        let mut encoded = Vec::new();
        let mut rest = &*self.bytes;
        while let Some(at) = rest.windows(PROOF.len()).position(|window| window == PROOF) {
            encoded.extend_from_slice(&rest[..at]);
            encoded.extend_from_slice(proof.as_bytes());
            rest = &rest[at + PROOF.len()..];
        }
        encoded.extend_from_slice(rest);
        encoded
    }

    /// Writes the answer to `stream`, and returns whether the connection is kept. `reader` reads from
    /// the same connection, on which `body_len` bytes of the request follow.
    ///
    /// # Errors
    /// Fails if the client closes the connection early.
    pub(crate) fn play(
        &self,
        stream: &mut TcpStream,
        reader: &mut impl Read,
        body_len: u64,
        proof: &str,
    ) -> io::Result<bool> {
        stream.set_read_timeout(Some(MAX_KEPT_OPEN))?;
        let read_body =
            |reader: &mut _| io::copy(&mut Read::take(reader, body_len), &mut io::sink()).map(drop);
        if !self.before_body {
            read_body(reader)?;
        }
        stream.write_all(&self.encode(proof))?;
        let reads_body_now = matches!(self.end, AnswerEnd::KeepOpen | AnswerEnd::CloseAfterRequest);
        if self.before_body && reads_body_now {
            read_body(reader)?;
        }
        match self.end {
            AnswerEnd::KeepOpen => return Ok(true),
            AnswerEnd::Close | AnswerEnd::CloseAfterRequest => stream.shutdown(Shutdown::Both)?,
            AnswerEnd::CloseAndReadOn => {
                stream.shutdown(Shutdown::Write)?;
                io::copy(reader, &mut io::sink())?;
            }
            AnswerEnd::Reset => {
                // A reset discards the bytes that the client has not read yet.
                std::thread::sleep(TIME_TO_READ);
                // The connection is reset once all handles of the socket are dropped.
                socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            }
        }
        Ok(false)
    }
}

/// Server of prescribed answers. It serves until the process ends.
#[derive(Clone, Debug)]
pub struct RawServer {
    addr: SocketAddr,
    shared: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    answer: Option<RawAnswer>,
    /// Paths of the requests to which `answer` was written.
    answered: Vec<String>,
}

impl RawServer {
    /// Starts a server on a free loopback port. It writes the answer that is set to requests whose
    /// path begins with `prefix`, and a sound one to all others.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub fn start(prefix: &'static str) -> io::Result<RawServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = RawServer { addr: listener.local_addr()?, shared: Arc::default() };
        let shared = server.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                // An I/O error means that the client closed the connection.
                std::thread::spawn(move || drop(serve(&shared, stream, prefix)));
            }
        });
        Ok(server)
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the answer.
    pub fn set_answer(&self, answer: RawAnswer) {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner).answer = Some(answer);
    }

    /// Returns how often the answer that is set at the time was written to a request with `path`.
    pub fn answer_count(&self, path: &str) -> usize {
        let state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        state.answered.iter().filter(|answered| *answered == path).count()
    }
}

fn serve(shared: &Mutex<State>, mut stream: TcpStream, prefix: &str) -> io::Result<()> {
    const SOUND: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut request_line = String::new();
        if reader.read_line(&mut request_line)? == 0 {
            return Ok(());
        }
        let path = request_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let body_len = read_body_length(&mut reader)?;
        let answer = {
            let mut state = shared.lock().unwrap_or_else(PoisonError::into_inner);
            let answer = state.answer.clone().filter(|_| path.starts_with(prefix));
            if answer.is_some() {
                state.answered.push(path);
            }
            answer
        };
        if let Some(answer) = answer {
            if answer.play(&mut stream, &mut reader, body_len, "")? {
                continue;
            }
            return Ok(());
        }
        io::copy(&mut (&mut reader).take(body_len), &mut io::sink())?;
        stream.write_all(SOUND)?;
    }
}

/// Reads the rest of a request head and returns the length of the body.
fn read_body_length(reader: &mut impl BufRead) -> io::Result<u64> {
    let mut body_len = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(body_len) };
        if name.eq_ignore_ascii_case("content-length") {
            body_len = value.trim().parse().unwrap_or_default();
        }
    }
}
