//! Listening sockets of a starting daemon.

use crate::http::Listener;
use anyhow::Context;
use fescuemux_core::base::Incarnation;
use fescuemux_core::member::{Addresses, InstanceRecord, MemberState};
use fescuemux_settings::Settings;
use tokio::net::TcpListener;

/// Sockets bound before any component starts, so that a daemon whose address is in use fails
/// before it has any effect.
pub(super) struct BoundSockets {
    pub(super) callers: Listener,
    pub(super) hop: Listener,
    pub(super) rpc: TcpListener,
    pub(super) local: Listener,
}

impl BoundSockets {
    pub(super) async fn bind(settings: &Settings) -> anyhow::Result<BoundSockets> {
        let listen = &settings.listen;
        let callers = Listener::bind(listen.callers).await;
        let hop = Listener::bind(listen.hop).await;
        let rpc = TcpListener::bind(listen.rpc).await;
        let local = Listener::bind(listen.local).await;
        Ok(BoundSockets {
            callers: callers
                .with_context(|| format!("cannot bind `callers` {}", listen.callers))?,
            hop: hop.with_context(|| format!("cannot bind `hop` {}", listen.hop))?,
            rpc: rpc.with_context(|| format!("cannot bind `rpc` {}", listen.rpc))?,
            local: local.with_context(|| format!("cannot bind `local` {}", listen.local))?,
        })
    }

    /// Returns the membership record of this instance. An advertised port of zero is replaced by
    /// the bound port.
    pub(super) fn record(&self, settings: &Settings, incarnation: Incarnation) -> InstanceRecord {
        let mut hop = settings.advertise.hop;
        if let (0, Ok(bound_addr)) = (hop.port(), self.hop.local_addr()) {
            hop.set_port(bound_addr.port());
        }
        let mut rpc = settings.advertise.rpc;
        if let (0, Ok(bound_addr)) = (rpc.port(), self.rpc.local_addr()) {
            rpc.set_port(bound_addr.port());
        }
        InstanceRecord {
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            incarnation,
            version: 1,
            refutation: 0,
            addresses: Addresses { rpc, hop },
            state: MemberState::Alive,
            servers: Vec::new(),
            generation: 0,
        }
    }
}
