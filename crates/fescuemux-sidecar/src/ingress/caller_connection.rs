//! Connections of callers.

use super::handle;
use crate::node::Node;
use crate::serve::accept;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Idle timeout before a configuration states one.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Serves callers until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept(listener, move |stream| {
        tokio::task::spawn_local(serve_connection(node.clone(), stream));
    })
    .await;
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let active = Rc::new(Activity { busy: Cell::new(0), since: Cell::new(node.now()) });
    let service = service_fn(|req: Request<Incoming>| {
        let (node, active) = (node.clone(), active.clone());
        async move {
            active.busy.set(active.busy.get() + 1);
            let response = handle(node.clone(), req).await;
            active.busy.set(active.busy.get() - 1);
            active.since.set(node.now());
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = node.stopping.subscribe();
    let mut ending = false;
    loop {
        let idle = idle_timeout(&node);
        let until = active.since.get() + idle;
        tokio::select! {
            // An error here is a caller that left or broke the protocol; hyper has answered it.
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping), if !ending => ending = true,
            () = tokio::time::sleep_until(until.max(node.now()).into()), if !ending => {
                let over = node.now() >= active.since.get() + idle;
                ending = active.busy.get() == 0 && over;
                if !ending {
                    active.since.set(node.now());
                    continue;
                }
            }
        }
        if ending {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// What happens on a connection.
struct Activity {
    busy: Cell<usize>,
    since: Cell<Instant>,
}

fn idle_timeout(node: &Node) -> Duration {
    node.config.borrow().as_ref().map_or(DEFAULT_IDLE, |config| config.bounds.idle_timeout)
}
