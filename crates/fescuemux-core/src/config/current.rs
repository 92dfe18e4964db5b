//! Head of the configuration in force in one daemon.

use super::Head;
use crate::base::{Generation, PlanId};

/// Result of comparing an offered head with the head in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadComparison {
    /// The head is newer than the one in force.
    Newer,
    /// The head is the one in force.
    Same,
    /// The head is older than the one in force, for example from a replica with old data.
    Older,
    /// Two plans claim the same generation. This happens only when the store lost data or two
    /// fleets share a store; the head in force is kept.
    Conflict {
        /// Generation claimed by both plans.
        generation: Generation,
        /// Plan of the head in force.
        ours: PlanId,
        /// Plan of the offered head.
        theirs: PlanId,
    },
}

/// Head of the configuration in force in one daemon. Never returns to an older generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CurrentHead {
    head: Option<Head>,
}

impl CurrentHead {
    /// Returns the state of a daemon without a configuration.
    pub fn new() -> CurrentHead {
        CurrentHead::default()
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the generation in force; zero without a configuration.
    pub fn generation(&self) -> Generation {
        self.head.as_ref().map_or(0, Head::generation)
    }

    /// Compares `head` with the head in force. Called before its chunks are loaded.
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

    /// Puts `head` in force if it is newer. All of its chunks must be present.
    pub fn install(&mut self, head: Head) -> HeadComparison {
        let comparison = self.compare(&head);
        if comparison == HeadComparison::Newer {
            self.head = Some(head);
        }
        comparison
    }
}
