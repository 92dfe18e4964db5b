//! Announces the server to a daemon periodically, and samples the load that `/load` reports.

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
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between a failed announcement and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between samples of the load. `/load` reports the sample before the latest one, because
/// the load that real servers report lags as well.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces the server to the daemon at `daemon_addr` until the task is aborted.
pub(super) async fn announce(
    shared: Arc<Shared>,
    daemon_addr: SocketAddr,
    own_addr: SocketAddr,
    incarnation: u64,
) {
    loop {
        let sent = time::timeout(
            ANNOUNCE_TIMEOUT,
            post_announcement(daemon_addr, announcement(&shared, own_addr, incarnation)),
        )
        .await;
        let wait = match sent.map_err(anyhow::Error::from).and_then(|sent| sent) {
            Ok(()) => ANNOUNCE_INTERVAL,
            Err(error) => {
                tracing::debug!(server = shared.options.server, %error, "announcement failed");
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = time::sleep(wait) => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

/// Samples the number of busy slots until the task is aborted.
pub(super) async fn sample_load(shared: Arc<Shared>) {
    let mut latest = 0;
    loop {
        shared.reported_load.store(latest, Ordering::SeqCst);
        latest = shared.busy();
        time::sleep(LOAD_SAMPLE_INTERVAL).await;
    }
}

fn announcement(shared: &Shared, own_addr: SocketAddr, incarnation: u64) -> String {
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
        "address": own_addr.to_string(),
        "slots": shared.options.slots,
        "incarnation": incarnation,
        "phase": phase,
    })
    .to_string()
}

async fn post_announcement(daemon_addr: SocketAddr, announcement: String) -> anyhow::Result<()> {
    let stream = TcpStream::connect(daemon_addr).await.context("connect")?;
    let (mut sender, connection) =
        client::conn::http1::handshake(TokioIo::new(stream)).await.context("handshake")?;
    let request = Request::post("/announce")
        .header(header::HOST, daemon_addr.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::from(announcement)))?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await;
    driver.abort();
    let status = response.context("send")?.status();
    ensure!(status.is_success(), "daemon responded with {status}");
    Ok(())
}
