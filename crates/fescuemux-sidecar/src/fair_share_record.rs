//! Encoded share of a customer, in load queries and reservations.

use fescuemux_core::fair_queue::FairShare;
use serde::{Deserialize, Serialize};

/// Encoded [`FairShare`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct FairShareRecord {
    customer: u64,
    weight: f32,
}

impl From<FairShare> for FairShareRecord {
    fn from(share: FairShare) -> FairShareRecord {
        FairShareRecord { customer: share.customer, weight: share.weight() as f32 }
    }
}

impl From<FairShareRecord> for FairShare {
    fn from(record: FairShareRecord) -> FairShare {
        FairShare::new(record.customer, f64::from(record.weight))
    }
}
