//! A server answers an upload before it has read its whole body, keeps the channel and reads on.

use crate::fleet::{
    Call, Failure, Fleet, Handler, MachineOptions, Record, configuration, read_answer, request_head,
    rule,
};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Length of an upload.
const BODY_BYTES: usize = 2_000_000;

/// The requester sends so many bytes every 20 ms, 1 MB a second.
const PIECE_BYTES: usize = 20_000;
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of the body that the server reads before it answers.
const READ_BEFORE_ANSWER: usize = 64 << 10;

const UPLOADS: usize = 3;

/// What a server got of a body: number of bytes, and whether it was the whole body.
type Received = Arc<Mutex<BTreeMap<String, (usize, bool)>>>;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Result<bool, Failure> {
    let received = Received::default();
    let quiet: Handler = Arc::new(|call: &mut Call<'_>| {
        call.read_rest()?;
        call.answer(b"ok")
    });
    let machine = |service, handler| MachineOptions {
        service,
        slots: 10,
        memory_mb: 512,
        max_fds: 8192,
        handler,
    };
    let machines =
        vec![machine("mosaico", quiet), machine("archivo", uploads(&received, record, trouble))];
    let rules =
        [rule("scan", "upload", 4_000, 15_000, "archivo"), rule("tile", "safe", 4_000, 5_000, "mosaico")];
    let config = configuration(1, &rules, &["mosaico", "archivo"]);
    let fleet = Fleet::start(root, machines, &config, record)?;
    let mut held = true;
    let mut answered = 0;
    for index in 0..UPLOADS {
        let id = format!("upload-{index}");
        let mut stream = TcpStream::connect(fleet.machines[0].outbound())?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(16)))?;
        let framing = format!("Content-Length: {BODY_BYTES}");
        record.add(&format!("{id}: POST /scan/1, {BODY_BYTES} bytes, to machine 0"));
        let mut reader = BufReader::new(stream.try_clone()?);
        let answers = std::thread::spawn(move || read_answer(&mut reader));
        stream.write_all(request_head("POST /scan/1", &id, 15_000, &framing).as_bytes())?;
        let mut sent = 0;
        while sent < BODY_BYTES {
            let piece = vec![b'u'; PIECE_BYTES.min(BODY_BYTES - sent)];
            if let Err(e) = stream.write_all(&piece) {
                record.add(&format!("{id}: sending failed after {sent} bytes: {e}"));
                break;
            }
            sent += piece.len();
            std::thread::sleep(PIECE_PAUSE);
        }
        record.add(&format!("{id}: {sent} of {BODY_BYTES} bytes sent"));
        let status = match answers.join().map_err(|_| "a thread has failed")? {
            Ok((head, len)) => {
                let stamp = head.header("reply-stamp").unwrap_or("none").to_owned();
                let status = head.status();
                record.add(&format!("{id}: answered {status}, {len} bytes, Reply-Stamp {stamp}"));
                status
            }
            Err(e) => {
                record.add(&format!("{id}: no answer: {e}"));
                0
            }
        };
        // The rest may still be on its way to the server.
        std::thread::sleep(Duration::from_secs(3));
        let got = received.lock().unwrap_or_else(PoisonError::into_inner).get(&id).copied();
        record.add(&format!("{id}: the server got {got:?} (bytes, whole body)"));
        let success = (200..300).contains(&status);
        answered += usize::from(success);
        if success && sent == BODY_BYTES && got.is_none_or(|(_, whole)| !whole) {
            record.add(&format!("{id}: BROKEN: answered with success, and the body was cut off"));
            held = false;
        }
    }
    if answered == 0 {
        return Err("no upload was answered with success".into());
    }
    Ok(held)
}

fn uploads(received: &Received, record: &Record, trouble: bool) -> Handler {
    let (received, record) = (received.clone(), record.clone());
    Arc::new(move |call: &mut Call<'_>| {
        let id = call.id();
        record.add(&format!("{id}: the server begins to work"));
        let mut buf = vec![0; 16 << 10];
        let mut total = 0;
        let mut answered = false;
        let whole = loop {
            if trouble && !answered && total >= READ_BEFORE_ANSWER {
                call.answer(b"accepted")?;
                answered = true;
                record.add(&format!("{id}: the server answers 200 after {total} bytes, reads on"));
            }
            match call.body.read(call.reader, &mut buf) {
                Ok(0) => break true,
                Ok(len) => total += len,
                Err(e) => {
                    record.add(&format!("{id}: the server's channel ends: {e}"));
                    break false;
                }
            }
        };
        record.add(&format!("{id}: the server has read {total} bytes, whole body: {whole}"));
        received.lock().unwrap_or_else(PoisonError::into_inner).insert(id, (total, whole));
        if !answered && whole {
            call.answer(b"accepted")?;
        }
        if whole { Ok(()) } else { Err(std::io::ErrorKind::UnexpectedEof.into()) }
    })
}
