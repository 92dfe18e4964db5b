//! TCP connection of a caller, from which further requests are read while one is in progress.

use super::early_requests::Pipeline;
use bytes::BufMut;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Number of bytes for which memory is reserved before a read of further requests.
const READ_BYTES: usize = 4 * 1024;

/// Interval at which a connection from which nothing more is read is checked for its end. The work
/// for a caller that has left ends within half a second.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Connection that hyper reads from and writes to. While a request is in progress, it reads further
/// requests into a bounded buffer and starts those that may start early.
pub(super) struct CallerStream {
    stream: TcpStream,
    pipeline: Rc<Pipeline>,
    /// Maximum number of bytes that are read ahead.
    max_unread: usize,
    end_check: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        pipeline: Rc<Pipeline>,
        max_unread: usize,
    ) -> CallerStream {
        CallerStream { stream, pipeline, max_unread, end_check: None }
    }

    /// Reads further requests. Is ready when the caller has closed the connection.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            self.pipeline.start_early();
            let unread_len = self.pipeline.tracker.borrow_mut().unread().len();
            let room = self.max_unread.saturating_sub(unread_len);
            if room == 0 {
                return self.poll_end(cx);
            }
            self.end_check = None;
            // Memory is allocated only when there is something to read.
            ready!(self.stream.poll_read_ready(cx))?;
            let mut tracker = self.pipeline.tracker.borrow_mut();
            let unread = tracker.unread();
            unread.reserve(room.min(READ_BYTES));
            let result = self.stream.try_read_buf(&mut unread.limit(room));
            drop(tracker);
            match result {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => self.pipeline.on_read_ahead(),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Polls for the end of a connection with bytes that are not read.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Poll::Ready(ready) = pin!(self.stream.ready(Interest::READABLE)).poll(cx)
                && ready?.is_read_closed()
            {
                return Poll::Ready(Ok(()));
            }
            let sleep = || Box::pin(tokio::time::sleep(END_CHECK_INTERVAL));
            ready!(self.end_check.get_or_insert_with(sleep).as_mut().poll(cx));
            self.end_check = None;
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let pipeline = this.pipeline.clone();
        let mut tracker = pipeline.tracker.borrow_mut();
        if tracker.is_response_due() {
            drop(tracker);
            let mut waker = pipeline.read_waker.borrow_mut();
            if !waker.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
            drop(waker);
            return this.poll_read_ahead(cx);
        }
        tracker.on_read();
        if !tracker.give(buf) {
            let start = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            tracker.take_back(buf, start);
        }
        if tracker.is_within_head() {
            drop(tracker);
            pipeline.on_partial_head();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
