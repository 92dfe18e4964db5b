//! The head: the one mutable record of the configuration in force.

use super::layout::Part;
use super::{ChunkNames, Digest};
use crate::base::{Generation, HashSet, PlanId};
use smol_str::SmolStr;
use std::time::SystemTime;

/// Older generations that a head remembers, beside its own.
pub const MAX_HISTORY: usize = 32;

/// One confirmed generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GenerationRecord {
    /// Number of the generation.
    pub generation: Generation,
    /// Plan that it came from.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub author: SmolStr,
    /// Wall-clock time of the confirmation.
    pub time: SystemTime,
    /// Chunk names that this generation replaced. Going through them backwards gives the names
    /// of each older generation at the cost of the changed ones alone; whole sets of 129 names
    /// would make the head 32 times as large.
    pub replaced: Vec<(Part, Option<Digest>)>,
}

/// The head.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// The generation in force.
    pub latest: GenerationRecord,
    /// Names of its chunks.
    pub names: ChunkNames,
    /// Up to [`MAX_HISTORY`] older generations, newest first, without a gap.
    pub history: Vec<GenerationRecord>,
}

impl Head {
    /// Returns the head that follows `base`, or the first one, with the chunk names of `changed`.
    pub fn next(
        base: Option<&Head>,
        plan: PlanId,
        author: SmolStr,
        time: SystemTime,
        changed: &[(Part, Option<Digest>)],
    ) -> Head {
        let mut names = base.map(|head| head.names.clone()).unwrap_or_default();
        let replaced =
            changed.iter().map(|(part, name)| (*part, names.set(*part, *name))).collect();
        let generation = base.map_or(0, Head::generation) + 1;
        let mut history: Vec<GenerationRecord> =
            base.map(|head| head.latest.clone()).into_iter().collect();
        if let Some(base) = base {
            history.extend(base.history.iter().take(MAX_HISTORY - 1).cloned());
        }
        let latest = GenerationRecord { generation, plan, author, time, replaced };
        Head { latest, names, history }
    }

    /// Returns the generation in force.
    pub fn generation(&self) -> Generation {
        self.latest.generation
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> PlanId {
        self.latest.plan
    }

    /// Returns the chunks of all generations that the head remembers.
    pub fn chunks(&self) -> HashSet<Digest> {
        let replaced = self.records().flat_map(|record| &record.replaced);
        let older = replaced.filter_map(|(_, name)| *name);
        self.names.iter().map(|(_, name)| name).chain(older).collect()
    }

    /// Returns the known generations, newest first.
    pub fn records(&self) -> impl Iterator<Item = &GenerationRecord> {
        std::iter::once(&self.latest).chain(&self.history)
    }

    /// Returns the record of `generation`, if the head remembers it.
    pub fn record(&self, generation: Generation) -> Option<&GenerationRecord> {
        self.records().find(|record| record.generation == generation)
    }

    /// Returns the generation that `plan` became, if the head remembers it.
    pub fn generation_of(&self, plan: PlanId) -> Option<Generation> {
        self.records().find(|record| record.plan == plan).map(|record| record.generation)
    }

    /// Returns the chunk names of `generation`, if the head remembers them. One generation more
    /// than the records is known, because each record tells what it replaced.
    pub fn names_at(&self, generation: Generation) -> Option<ChunkNames> {
        let mut names = self.names.clone();
        let mut reached = self.generation();
        for record in self.records().take_while(|record| record.generation > generation) {
            for (part, name) in &record.replaced {
                names.set(*part, *name);
            }
            reached = record.generation.checked_sub(1)?;
        }
        (reached == generation).then_some(names)
    }
}
