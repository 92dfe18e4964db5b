//! Structured logs on standard output.
//!
//! A line goes to a bounded queue that a thread of its own writes out, so a reader that stops
//! reading costs lines and never delays a request.

use flume::{Receiver, Sender, TrySendError};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that wait to be written. At 200 bytes a line this is half a second of a busy daemon
/// and under a megabyte.
const QUEUE_CAPACITY_LINES: usize = 2_000;

/// Stack of the writing thread, in bytes; it only copies lines.
const WRITER_STACK_BYTES: usize = 64 * 1024;

#[derive(Clone)]
struct LogQueue {
    tx: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

struct LineBuffer<'a> {
    queue: &'a LogQueue,
    buf: Vec<u8>,
}

impl Write for LineBuffer<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineBuffer<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.buf);
        if let Err(TrySendError::Full(_)) = self.queue.tx.try_send(line) {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LineBuffer<'a>;

    fn make_writer(&'a self) -> LineBuffer<'a> {
        LineBuffer { queue: self, buf: Vec::with_capacity(256) }
    }
}

/// Sets up logs as one JSON object a line.
///
/// # Errors
/// Fails when logs were set up before in this process or no thread can be started.
pub fn init() -> anyhow::Result<()> {
    let (tx, rx) = flume::bounded(QUEUE_CAPACITY_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LogQueue { tx, dropped: dropped.clone() };
    let writer = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
    writer.spawn(move || write_lines(&rx, &dropped))?;
    let layer = tracing_subscriber::fmt::layer().json().flatten_event(true).with_target(false);
    tracing_subscriber::registry()
        .with(LevelFilter::INFO)
        .with(layer.with_writer(queue))
        .try_init()?;
    Ok(())
}

fn write_lines(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut stdout = io::stdout();
    while let Ok(mut buf) = rx.recv() {
        buf.extend(rx.try_iter().flatten());
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped_count}}}\n"
            );
            buf.extend_from_slice(line.as_bytes());
        }
        // Without a reader of standard output there is nobody to tell about the failure.
        if stdout.write_all(&buf).and_then(|()| stdout.flush()).is_err() {
            return;
        }
    }
}
