//! Server for remote procedure calls of other daemons.

use super::members::MembershipDriver;
use crate::config_sync::ConfigState;
use crate::demand::DemandReporter;
use crate::homes::KeyHomes;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::InstanceId;
use fescuemux_core::dedup::Roster;
use fescuemux_wire::auth::KeyRing;
use fescuemux_wire::roster::RosterRecord;
use fescuemux_wire::rpc::{
    ClaimResponseWire, ConfigQuery, ConfigResponse, KeyOutcomeWire, Peer, RegistryEntryWire,
    RosterExchangeResponse, accept_transport,
};
use futures::{StreamExt, future};
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Timeout for the handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections: two for each instance of the target deployment.
const MAX_CONNECTIONS: usize = 1_080;

/// Handlers of the remote procedures.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer {
    pub(crate) members: Arc<MembershipDriver>,
    pub(crate) config: Arc<ConfigState>,
    pub(crate) homes: Arc<KeyHomes>,
    pub(crate) demand: Arc<DemandReporter>,
}

impl Peer for PeerServer {
    async fn deliver(self, _: Context, from: String, message: Vec<u8>) {
        self.members.receive(from.into(), &message);
    }

    async fn config(self, _: Context, query: ConfigQuery) -> ConfigResponse {
        self.config.handle_query(&query)
    }

    async fn exchange(
        self,
        _: Context,
        from: String,
        epoch: u64,
        unsettled_roster: Option<RosterRecord>,
        subject: Option<String>,
    ) -> RosterExchangeResponse {
        let subject = subject.map(InstanceId::from);
        if let Some(Ok(roster)) = unsettled_roster.map(Roster::try_from) {
            self.homes.adopt_roster(roster);
        }
        self.homes.answer_exchange(&from.into(), epoch, subject.as_ref())
    }

    async fn demand(
        self,
        _: Context,
        from: String,
        demands: Vec<(String, f64)>,
    ) -> Vec<(String, f64)> {
        self.demand.on_report(&from.into(), demands)
    }

    async fn claim(
        self,
        _: Context,
        epoch: u64,
        service: String,
        key: String,
        holder: u128,
    ) -> ClaimResponseWire {
        self.homes.claim_locally(epoch, &service.into(), &key, holder)
    }

    async fn hand_over(self, _: Context, entries: Vec<RegistryEntryWire>) {
        self.homes.take_over(entries);
    }

    async fn settle(
        self,
        _: Context,
        service: String,
        key: String,
        holder: u128,
        outcome: Option<KeyOutcomeWire>,
    ) {
        self.homes.settle_locally(&service.into(), &key, holder, outcome);
    }
}

/// Accepts and serves connections of other daemons until the daemon stops.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    keys: KeyRing,
    server: PeerServer,
    mut stop: StopSignal,
) {
    let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait_for_phase(StopPhase::Aborting) => return,
        };
        let Ok((stream, addr)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            tracing::warn!(%addr, "too many daemon connections");
            continue;
        };
        let (keys, server) = (keys.clone(), server.clone());
        tokio::spawn(async move {
            serve_connection(stream, &keys, server).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, keys: &KeyRing, server: PeerServer) {
    let _ = stream.set_nodelay(true);
    let transport = match timeout(HANDSHAKE_TIMEOUT, accept_transport(stream, keys)).await {
        Ok(Ok(transport)) => transport,
        Ok(Err(e)) => {
            tracing::warn!(error = %e, "daemon connection rejected");
            return;
        }
        Err(_) => {
            tracing::warn!("handshake timed out");
            return;
        }
    };
    let requests = BaseChannel::with_defaults(transport).execute(server.serve());
    requests
        .for_each(|answering| {
            tokio::spawn(answering);
            future::ready(())
        })
        .await;
}
