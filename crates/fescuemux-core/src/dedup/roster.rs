//! Which instances are homes of idempotency keys.

use crate::base::{InstanceId, ServiceId, stable_hash};
use std::time::Duration;
use thiserror::Error;

/// Largest number of homes. It bounds the exchanges that keep the fence of each home open.
pub const MAX_HOMES: usize = 31;
/// A home that had no exchange with a majority of its roster for this long refuses claims.
pub const SELF_FENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// An instance may leave the roster only after a majority had no exchange with it for this long.
/// It exceeds [`SELF_FENCE_TIMEOUT`] by 40 s to cover clock drift and the time that attesting takes.
pub const MIN_REMOVAL_SILENCE: Duration = Duration::from_secs(60);

/// Homes of the fleet. Stored by compare-and-swap; each epoch differs from the one before by
/// one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Grows by one with each change.
    pub epoch: u64,
    /// Members in the order of joining.
    pub instances: Vec<InstanceId>,
}

/// Change of a roster by one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// Adds an instance.
    Join(InstanceId),
    /// Removes an instance that stopped as planned and refuses claims from now on.
    Leave(InstanceId),
    /// Removes an instance that is silent. Each attestation is the time since a roster member,
    /// itself included or not, last had an exchange with it.
    Expel {
        /// The silent instance.
        instance: InstanceId,
        /// Roster member and its time since the last exchange.
        attestations: Vec<(InstanceId, Duration)>,
    },
}

/// Reason for refusing a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RosterChangeError {
    /// The instance is in the roster already, or is not.
    #[error("the change is already in force")]
    NoChange,
    /// The roster has [`MAX_HOMES`] members.
    #[error("the roster is full")]
    Full,
    /// Fewer than a majority of the roster attest silence for [`MIN_REMOVAL_SILENCE`].
    #[error("no majority of the roster attests 60 s of silence")]
    NoMajority,
}

impl Roster {
    /// Returns the home of a key: the member with the highest rendezvous weight.
    pub fn home(&self, service: &ServiceId, key: &str) -> Option<&InstanceId> {
        self.instances.iter().max_by_key(|instance| weight(instance, service, key))
    }

    /// Returns the roster after `change`.
    ///
    /// # Errors
    ///
    /// Returns the reason when the change is void or not supported by a majority.
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
                if !self.majority_silent(attestations) {
                    return Err(RosterChangeError::NoMajority);
                }
            }
        }
        Ok(next)
    }

    fn remove(&mut self, instance: &InstanceId) -> Result<(), RosterChangeError> {
        let before = self.instances.len();
        self.instances.retain(|member| member != instance);
        if self.instances.len() == before { Err(RosterChangeError::NoChange) } else { Ok(()) }
    }

    fn majority_silent(&self, attestations: &[(InstanceId, Duration)]) -> bool {
        let silent = self
            .instances
            .iter()
            .filter(|member| {
                attestations
                    .iter()
                    .any(|(from, age)| from == *member && *age >= MIN_REMOVAL_SILENCE)
            })
            .count();
        silent * 2 > self.instances.len()
    }
}

/// Returns the rendezvous weight of a home. Daemons of different releases must choose the same
/// home, or one key could be granted at two.
fn weight(instance: &InstanceId, service: &ServiceId, key: &str) -> u64 {
    stable_hash(&[service.as_bytes(), key.as_bytes(), instance.as_bytes()])
}
