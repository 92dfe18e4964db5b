//! Records on the wire.

use super::{Health, MAX_NAME, MAX_SERVERS, MemberError, Phase, State};
use fescuemux_core::member;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    server: SmolStr,
    service: SmolStr,
    slots: u16,
    phase: Phase,
    health: Health,
    incarnation: u64,
}

/// A whole record of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    instance: SmolStr,
    domain: SmolStr,
    region: SmolStr,
    incarnation: u64,
    version: u64,
    refutation: u32,
    state: State,
    rpc: SocketAddr,
    hop: SocketAddr,
    generation: u64,
    servers: Vec<Server>,
}

/// The position of a record, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    instance: SmolStr,
    incarnation: u64,
    version: u64,
    refutation: u32,
    state: State,
    dead_for_secs: u32,
}

impl From<member::ServerRecord> for Server {
    fn from(s: member::ServerRecord) -> Server {
        Server {
            server: s.server,
            service: s.service,
            slots: s.slots,
            phase: s.phase.into(),
            health: s.health.into(),
            incarnation: s.incarnation,
        }
    }
}

impl TryFrom<Server> for member::ServerRecord {
    type Error = MemberError;

    fn try_from(s: Server) -> Result<member::ServerRecord, MemberError> {
        Ok(member::ServerRecord {
            server: checked_name(s.server)?,
            service: checked_name(s.service)?,
            slots: s.slots,
            phase: s.phase.into(),
            health: s.health.into(),
            incarnation: s.incarnation,
        })
    }
}

impl From<member::InstanceRecord> for Instance {
    fn from(r: member::InstanceRecord) -> Instance {
        Instance {
            instance: r.instance,
            domain: r.domain,
            region: r.region,
            incarnation: r.incarnation,
            version: r.version,
            refutation: r.refutation,
            state: r.state.into(),
            rpc: r.addresses.rpc,
            hop: r.addresses.hop,
            generation: r.generation,
            servers: r.servers.into_iter().map(Server::from).collect(),
        }
    }
}

impl TryFrom<Instance> for member::InstanceRecord {
    type Error = MemberError;

    fn try_from(r: Instance) -> Result<member::InstanceRecord, MemberError> {
        checked_len(r.servers.len(), MAX_SERVERS)?;
        let servers: Result<Vec<_>, _> = r.servers.into_iter().map(TryInto::try_into).collect();
        Ok(member::InstanceRecord {
            instance: checked_name(r.instance)?,
            domain: checked_name(r.domain)?,
            region: checked_name(r.region)?,
            incarnation: r.incarnation,
            version: r.version,
            refutation: r.refutation,
            addresses: member::Addresses { rpc: r.rpc, hop: r.hop },
            state: r.state.into(),
            servers: servers?,
            generation: r.generation,
        })
    }
}

impl From<member::Standing> for Standing {
    fn from(s: member::Standing) -> Standing {
        Standing {
            instance: s.instance,
            incarnation: s.key.incarnation,
            version: s.key.version,
            refutation: s.key.refutation,
            state: s.key.state.into(),
            dead_for_secs: s.dead_for_secs,
        }
    }
}

impl TryFrom<Standing> for member::Standing {
    type Error = MemberError;

    fn try_from(s: Standing) -> Result<member::Standing, MemberError> {
        let key = member::RecordKey {
            incarnation: s.incarnation,
            version: s.version,
            refutation: s.refutation,
            state: s.state.into(),
        };
        let instance = checked_name(s.instance)?;
        Ok(member::Standing { instance, key, dead_for_secs: s.dead_for_secs })
    }
}

/// Returns `name` if its length is within the bounds.
pub(super) fn checked_name(name: SmolStr) -> Result<SmolStr, MemberError> {
    match name.len() {
        1..=MAX_NAME => Ok(name),
        len => Err(MemberError::BadName(len)),
    }
}

/// Returns an error if a list of `len` entries exceeds `max`.
pub(super) fn checked_len(len: usize, max: usize) -> Result<(), MemberError> {
    if len > max { Err(MemberError::TooMany(len)) } else { Ok(()) }
}
