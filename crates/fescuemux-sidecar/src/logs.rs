//! Structured logging to standard output.
//!
//! Lines go through a bounded queue to a dedicated writer thread. If the reader of standard output
//! stalls, lines are dropped instead of delaying requests.

use flume::{Receiver, Sender, TrySendError};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Capacity of the queue: half a second of logs from a busy process, and less than a megabyte at
/// 200 bytes per line.
const QUEUE_CAPACITY_LINES: usize = 2_000;

/// Stack size of the writer thread, which only copies lines.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// Time for which the exit of the process waits until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Item of the queue.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Reports over the channel that all lines before it are written.
    Flush(Sender<()>),
}

#[derive(Clone)]
struct LogQueue {
    tx: Sender<Item>,
    dropped_lines: Arc<AtomicU64>,
}

/// Buffer of one log line, which is queued on drop.
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
        if let Err(TrySendError::Full(_)) = self.queue.tx.try_send(Item::Line(line)) {
            self.queue.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes out the queued lines before the process exits.
#[derive(Debug)]
pub struct LogFlusher {
    tx: Sender<Item>,
}

impl LogFlusher {
    /// Waits until the queued lines are written, for a tenth of a second at most. Without it, the
    /// last lines of a process are lost when it exits.
    pub fn flush(&self) {
        let (tx, rx) = flume::bounded(1);
        if self.tx.send_timeout(Item::Flush(tx), FLUSH_TIMEOUT).is_ok() {
            // A reader that does not read must not keep the process from exiting.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LineBuffer<'a>;

    fn make_writer(&'a self) -> LineBuffer<'a> {
        LineBuffer { queue: self, buf: Vec::with_capacity(256) }
    }
}

/// Initializes logging with one JSON object per line.
///
/// # Errors
/// Fails if logging is already initialized or the writer thread cannot be started.
pub fn init() -> anyhow::Result<LogFlusher> {
    let (tx, rx) = flume::bounded(QUEUE_CAPACITY_LINES);
    let dropped_lines = Arc::new(AtomicU64::new(0));
    let queue = LogQueue { tx: tx.clone(), dropped_lines: dropped_lines.clone() };
    let writer = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
    writer.spawn(move || write_lines(&rx, &dropped_lines))?;
    let layer = tracing_subscriber::fmt::layer().json().flatten_event(true).with_target(false);
    tracing_subscriber::registry()
        .with(LevelFilter::INFO)
        .with(layer.with_writer(queue))
        .try_init()?;
    Ok(LogFlusher { tx })
}

fn write_lines(rx: &Receiver<Item>, dropped_lines: &AtomicU64) {
    let mut stdout = io::stdout();
    while let Ok(first) = rx.recv() {
        let mut buf = Vec::new();
        let mut flushes = Vec::new();
        for item in std::iter::once(first).chain(rx.try_iter()) {
            match item {
                Item::Line(line) => buf.extend(line),
                Item::Flush(tx) => flushes.push(tx),
            }
        }
        let count = dropped_lines.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{count}}}\n"
            );
            buf.extend_from_slice(line.as_bytes());
        }
        // Logs go only to standard output, so a failure to write to it cannot be reported.
        if stdout.write_all(&buf).and_then(|()| stdout.flush()).is_err() {
            return;
        }
        for tx in flushes {
            // The send fails if the flush has timed out.
            let _ = tx.send(());
        }
    }
}
