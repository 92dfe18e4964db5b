//! Head of the configuration in force in one daemon.

use super::Head;
use crate::base::{Generation, PlanId};

/// Result of comparing an offered head with the head in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadComparison {
    /// The offered head is newer than the head in force.
    Newer,
    /// The offered head is the head in force.
    Same,
    /// The offered head is older than the head in force, for example because a replica of the store
    /// has old data.
    Older,
    /// The heads have different plans or chunk names for the same generation. This happens only
    /// when the store lost data or two fleets share a store; the head in force is kept.
    Conflict {
        /// Generation in which the heads differ.
        generation: Generation,
        /// Plan of this generation in the head in force.
        ours: PlanId,
        /// Plan of this generation in the offered head.
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

    /// Compares `head` with the head in force. Called before the chunks of `head` are loaded.
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

    /// Puts `head` in force if it is newer than the head in force. All chunks of `head` must be
    /// loaded.
    pub fn install(&mut self, head: Head) -> HeadComparison {
        let comparison = self.compare(&head);
        if comparison == HeadComparison::Newer {
            self.head = Some(head);
        }
        comparison
    }
}
