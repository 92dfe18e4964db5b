//! Announces the server to a daemon and samples the load that `/load` reports.

use super::shared::Shared;
use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, client, header};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time;

/// Time between announcements.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a failed announcement is sent again.
const RETRY: Duration = Duration::from_millis(100);
/// Longest time one announcement may take.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Time between samples of the load. `/load` shows the sample before the last one, as real
/// load endpoints lag.
const LOAD_SAMPLE: Duration = Duration::from_millis(500);

/// Announces the server for ever.
pub(super) async fn announce(shared: Arc<Shared>, to: SocketAddr, own: SocketAddr, start_ms: u64) {
    loop {
        let sent = time::timeout(TIMEOUT, post(to, body(&shared, own, start_ms))).await;
        let wait = match sent.map_err(anyhow::Error::from).and_then(|sent| sent) {
            Ok(()) => INTERVAL,
            Err(error) => {
                tracing::debug!(server = shared.options.server, %error, "announcement failed");
                RETRY
            }
        };
        tokio::select! {
            () = time::sleep(wait) => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

/// Samples the load for ever.
pub(super) async fn sample_load(shared: Arc<Shared>) {
    let mut last = 0;
    loop {
        shared.reported_load.store(last, Ordering::SeqCst);
        last = shared.busy();
        time::sleep(LOAD_SAMPLE).await;
    }
}

fn body(shared: &Shared, own: SocketAddr, start_ms: u64) -> String {
    let phase = if shared.is_draining() {
        "draining"
    } else if shared.started.elapsed() < shared.options.warm_up {
        "cold"
    } else {
        "ready"
    };
    json!({
        "server": shared.options.server,
        "service": shared.options.service,
        "address": own.to_string(),
        "slots": shared.options.slots,
        "incarnation": start_ms,
        "phase": phase,
    })
    .to_string()
}

async fn post(to: SocketAddr, body: String) -> anyhow::Result<()> {
    let stream = TcpStream::connect(to).await.context("connect")?;
    let (mut sender, connection) =
        client::conn::http1::handshake(TokioIo::new(stream)).await.context("handshake")?;
    let request = Request::post("/announce")
        .header(header::HOST, to.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::from(body)))?;
    let driver = tokio::spawn(connection);
    let answered = sender.send_request(request).await;
    driver.abort();
    let status = answered.context("send")?.status();
    ensure!(status.is_success(), "answered {status}");
    Ok(())
}
