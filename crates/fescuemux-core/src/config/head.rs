//! Head of the configuration. The head names the chunks in force and is the only record in the
//! store that changes.

use super::layout::Part;
use super::{ChunkDigests, Digest};
use crate::base::{Generation, HashSet, PlanId};
use smol_str::SmolStr;
use std::time::SystemTime;

/// Maximum number of older generations in the history of a head.
pub const MAX_HISTORY: usize = 32;

/// One confirmed generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GenerationRecord {
    /// Number of the generation.
    pub generation: Generation,
    /// Plan that was confirmed as this generation.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub author: SmolStr,
    /// Wall-clock time of the confirmation.
    pub time: SystemTime,
    /// Chunk names that this generation replaced. Undoing the replacements from the newest
    /// generation on gives the names of each older generation. Only changed names are stored: a
    /// full set of 129 names for each generation would make the head 32 times as large.
    pub replaced: Vec<(Part, Option<Digest>)>,
}

/// Head of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// Record of the generation in force.
    pub latest: GenerationRecord,
    /// Chunk names of the generation in force.
    pub names: ChunkDigests,
    /// Records of up to [`MAX_HISTORY`] older generations, newest first, without gaps.
    pub history: Vec<GenerationRecord>,
}

impl Head {
    /// Returns the successor of `base`, or the first head if `base` is `None`. `changed` holds the
    /// new chunk names of the changed parts.
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

    /// Returns the names of all chunks that the head or its history refers to.
    pub fn chunks(&self) -> HashSet<Digest> {
        let replaced = self.records().flat_map(|record| &record.replaced);
        let older = replaced.filter_map(|(_, name)| *name);
        self.names.iter().map(|(_, name)| name).chain(older).collect()
    }

    /// Returns the records of the known generations, newest first.
    pub fn records(&self) -> impl Iterator<Item = &GenerationRecord> {
        std::iter::once(&self.latest).chain(&self.history)
    }

    /// Returns the record of `generation`, if it is known.
    pub fn record(&self, generation: Generation) -> Option<&GenerationRecord> {
        self.records().find(|record| record.generation == generation)
    }

    /// Returns the generation that `plan` was confirmed as, if the head or its history has it.
    pub fn generation_of(&self, plan: PlanId) -> Option<Generation> {
        self.records().find(|record| record.plan == plan).map(|record| record.generation)
    }

    /// Returns the chunk names of `generation`, if they are known. The names of the
    /// generation before the oldest record are also known, because that record holds the names that
    /// it replaced.
    pub fn names_at(&self, generation: Generation) -> Option<ChunkDigests> {
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
