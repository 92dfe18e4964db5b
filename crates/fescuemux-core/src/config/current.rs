//! The generation in force in one daemon.

use super::Head;
use crate::base::{Generation, PlanId};

/// Result of offering a head to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadComparison {
    /// The head is newer than the one in force.
    Newer,
    /// The head is the one in force.
    Same,
    /// The head is older than the one in force, as from a replica that answers old values.
    Older,
    /// Two plans claim the same generation. This happens only when the store lost data or two
    /// fleets share it; the head in force stays.
    Conflict {
        /// Generation that both claim.
        generation: Generation,
        /// Plan of the head in force.
        ours: PlanId,
        /// Plan of the head offered.
        theirs: PlanId,
    },
}

/// The generation in force in one daemon. Never steps back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CurrentHead {
    head: Option<Head>,
}

impl CurrentHead {
    /// Returns a daemon's state before its first configuration.
    pub fn new() -> CurrentHead {
        CurrentHead::default()
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the generation in force; zero without configuration.
    pub fn generation(&self) -> Generation {
        self.head.as_ref().map_or(0, Head::generation)
    }

    /// Compares `head` with the one in force, before its chunks are loaded.
    pub fn compare(&self, head: &Head) -> HeadComparison {
        let Some(ours) = &self.head else { return HeadComparison::Newer };
        let generation = ours.generation().min(head.generation());
        if let (Some(known), Some(offered)) = (ours.record(generation), head.record(generation))
            && known.plan != offered.plan
        {
            return HeadComparison::Conflict { generation, ours: known.plan, theirs: offered.plan };
        }
        match head.generation().cmp(&ours.generation()) {
            std::cmp::Ordering::Greater => HeadComparison::Newer,
            std::cmp::Ordering::Less => HeadComparison::Older,
            std::cmp::Ordering::Equal if head.names == ours.names => HeadComparison::Same,
            std::cmp::Ordering::Equal => {
                HeadComparison::Conflict { generation, ours: ours.plan(), theirs: head.plan() }
            }
        }
    }

    /// Puts `head` in force if it is newer, after all its chunks are present.
    pub fn install(&mut self, head: Head) -> HeadComparison {
        let offer = self.compare(&head);
        if offer == HeadComparison::Newer {
            self.head = Some(head);
        }
        offer
    }
}
