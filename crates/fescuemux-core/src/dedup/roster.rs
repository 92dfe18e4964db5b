//! Roster of the instances that are homes of idempotency keys.

use crate::base::{InstanceId, ServiceId, stable_hash};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of homes. Limits how many peers a home must reach for a majority.
pub const MAX_HOMES: usize = 31;
/// Time without an exchange with a majority of its roster after which a home refuses claims.
pub const SELF_FENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without an exchange between an instance and a majority of the roster after which the
/// instance may be removed. Exceeds [`SELF_FENCE_TIMEOUT`] by 40 s to cover clock drift and the
/// time needed to collect attestations.
pub const MIN_REMOVAL_SILENCE: Duration = Duration::from_secs(60);

/// Homes of the fleet. Stored by compare-and-swap; consecutive epochs differ by one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Number of the roster, one higher with each change.
    pub epoch: u64,
    /// Members in the order of joining.
    pub instances: Vec<InstanceId>,
}

/// Change of a roster by one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// Adds an instance.
    Join(InstanceId),
    /// Removes an instance that stops as planned and already refuses claims.
    Leave(InstanceId),
    /// Removes an instance that no longer responds.
    Expel {
        /// Instance to remove.
        instance: InstanceId,
        /// Each attesting roster member and the time since its last contact with the instance. An
        /// attestation by the instance itself also counts.
        attestations: Vec<(InstanceId, Duration)>,
    },
}

/// Error of [`Roster::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RosterChangeError {
    /// The instance to add is already in the roster, or the instance to remove is not.
    #[error("the change is already in force")]
    NoChange,
    /// The roster has [`MAX_HOMES`] members.
    #[error("the roster is full")]
    Full,
    /// No majority of the roster attests silence for [`MIN_REMOVAL_SILENCE`].
    #[error("no majority of the roster attests 60 s of silence")]
    NoMajority,
}

impl Roster {
    /// Returns the home of a key: the member with the highest rendezvous weight, or `None` if the
    /// roster is empty.
    pub fn home(&self, service: &ServiceId, key: &str) -> Option<&InstanceId> {
        self.instances.iter().max_by_key(|instance| rendezvous_weight(instance, service, key))
    }

    /// Returns the roster after `change`.
    ///
    /// # Errors
    ///
    /// Returns an error if the change has no effect, the roster is full, or no majority attests
    /// the silence of an instance to expel.
    pub fn apply(&self, change: &RosterChange) -> Result<Roster, RosterChangeError> {
        let mut next = self.clone();
        next.epoch += 1;
        match change {
            RosterChange::Join(instance) => {
                if self.instances.contains(instance) {
                    return Err(RosterChangeError::NoChange);
                }
                if self.instances.len() >= MAX_HOMES {
                    return Err(RosterChangeError::Full);
                }
                next.instances.push(instance.clone());
            }
            RosterChange::Leave(instance) => next.remove(instance)?,
            RosterChange::Expel { instance, attestations } => {
                next.remove(instance)?;
                if !self.majority_attests_silence(attestations) {
                    return Err(RosterChangeError::NoMajority);
                }
            }
        }
        Ok(next)
    }

    fn remove(&mut self, instance: &InstanceId) -> Result<(), RosterChangeError> {
        let old_len = self.instances.len();
        self.instances.retain(|member| member != instance);
        if self.instances.len() == old_len { Err(RosterChangeError::NoChange) } else { Ok(()) }
    }

    fn majority_attests_silence(&self, attestations: &[(InstanceId, Duration)]) -> bool {
        let attesting = self
            .instances
            .iter()
            .filter(|member| {
                attestations.iter().any(|(attester, silence)| {
                    attester == *member && *silence >= MIN_REMOVAL_SILENCE
                })
            })
            .count();
        attesting * 2 > self.instances.len()
    }
}

/// Returns the rendezvous weight of a home. The hash must not change between releases: daemons
/// that choose different homes could grant the same key twice.
fn rendezvous_weight(instance: &InstanceId, service: &ServiceId, key: &str) -> u64 {
    stable_hash(&[service.as_bytes(), key.as_bytes(), instance.as_bytes()])
}
