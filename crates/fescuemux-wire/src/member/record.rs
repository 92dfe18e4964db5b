//! Wire types of membership records.

use super::{Health, MAX_NAME_BYTES, MAX_SERVERS, MemberError, Phase, State};
use fescuemux_core::member;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;

/// Backend server, encoded relative to its instance. Server names usually start with the name of
/// their instance, and both processes start at about the same time, so this encoding makes a full
/// record about a quarter shorter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Length of the common prefix of the instance name and the server name in bytes.
    shared: u8,
    /// Rest of the server name after the common prefix.
    rest: SmolStr,
    service: SmolStr,
    slots: u16,
    phase: Phase,
    health: Health,
    /// Incarnation of the backend server minus the incarnation of the instance, modulo 2^64.
    incarnation: i64,
}

/// Full record of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
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
    servers: Vec<ServerRecord>,
}

/// Precedence and state of a record, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSummary {
    instance: SmolStr,
    incarnation: u64,
    version: u64,
    refutation: u32,
    state: State,
    dead_for_secs: u32,
}

impl ServerRecord {
    fn from_core(s: member::ServerRecord, instance: &str, incarnation: u64) -> ServerRecord {
        let shared = shared_prefix_len(&s.server, instance);
        ServerRecord {
            shared: shared as u8,
            rest: SmolStr::new(&s.server[shared..]),
            service: s.service,
            slots: s.slots,
            phase: s.phase.into(),
            health: s.health.into(),
            incarnation: s.incarnation.wrapping_sub(incarnation) as i64,
        }
    }

    fn into_core(
        self,
        instance: &str,
        incarnation: u64,
    ) -> Result<member::ServerRecord, MemberError> {
        let shared = usize::from(self.shared);
        let prefix = instance.get(..shared).ok_or(MemberError::InvalidNameLength(shared))?;
        let server = checked_name(format_smolstr!("{prefix}{}", self.rest))?;
        Ok(member::ServerRecord {
            server,
            service: checked_name(self.service)?,
            slots: self.slots,
            phase: self.phase.into(),
            health: self.health.into(),
            incarnation: incarnation.wrapping_add(self.incarnation as u64),
        })
    }
}

/// Returns the length in bytes of the common prefix of the two names, at a character boundary.
/// Returns zero if `server` is too long, because the receiver refuses such a name anyway.
fn shared_prefix_len(server: &str, instance: &str) -> usize {
    if server.len() > MAX_NAME_BYTES {
        return 0;
    }
    let shared_chars = server.chars().zip(instance.chars()).take_while(|(x, y)| x == y);
    shared_chars.map(|(x, _)| x.len_utf8()).sum()
}

impl From<member::InstanceRecord> for InstanceRecord {
    fn from(r: member::InstanceRecord) -> InstanceRecord {
        let servers = r.servers.into_iter();
        let servers =
            servers.map(|s| ServerRecord::from_core(s, &r.instance, r.incarnation)).collect();
        InstanceRecord {
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
            servers,
        }
    }
}

impl TryFrom<InstanceRecord> for member::InstanceRecord {
    type Error = MemberError;

    fn try_from(r: InstanceRecord) -> Result<member::InstanceRecord, MemberError> {
        checked_len(r.servers.len(), MAX_SERVERS)?;
        let servers = r.servers.into_iter();
        let servers: Result<Vec<_>, _> =
            servers.map(|s| s.into_core(&r.instance, r.incarnation)).collect();
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

impl From<member::RecordSummary> for RecordSummary {
    fn from(s: member::RecordSummary) -> RecordSummary {
        RecordSummary {
            instance: s.instance,
            incarnation: s.precedence.incarnation,
            version: s.precedence.version,
            refutation: s.precedence.refutation,
            state: s.precedence.state.into(),
            dead_for_secs: s.dead_for_secs,
        }
    }
}

impl TryFrom<RecordSummary> for member::RecordSummary {
    type Error = MemberError;

    fn try_from(s: RecordSummary) -> Result<member::RecordSummary, MemberError> {
        let precedence = member::RecordPrecedence {
            incarnation: s.incarnation,
            version: s.version,
            refutation: s.refutation,
            state: s.state.into(),
        };
        let instance = checked_name(s.instance)?;
        Ok(member::RecordSummary { instance, precedence, dead_for_secs: s.dead_for_secs })
    }
}

/// Returns `name` if its length is valid.
pub(super) fn checked_name(name: SmolStr) -> Result<SmolStr, MemberError> {
    match name.len() {
        1..=MAX_NAME_BYTES => Ok(name),
        len => Err(MemberError::InvalidNameLength(len)),
    }
}

/// Returns an error if `len` exceeds `max`.
pub(super) fn checked_len(len: usize, max: usize) -> Result<(), MemberError> {
    if len > max { Err(MemberError::InvalidEntryCount(len)) } else { Ok(()) }
}
