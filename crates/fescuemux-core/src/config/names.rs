//! Names of the chunks that make up a configuration.

use super::layout::{BUCKET_COUNT, Part};

/// SHA-256 digest of an encoded chunk, which is the name of the chunk.
pub type Digest = [u8; 32];

/// Digests of the chunks of one configuration, which are their names. An empty part has no chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChunkDigests {
    services: Option<Digest>,
    routes: [Option<Digest>; BUCKET_COUNT],
    callers: [Option<Digest>; BUCKET_COUNT],
}

impl Default for ChunkDigests {
    fn default() -> ChunkDigests {
        ChunkDigests { services: None, routes: [None; BUCKET_COUNT], callers: [None; BUCKET_COUNT] }
    }
}

impl ChunkDigests {
    /// Returns the name of the chunk of `part`; `None` for an empty part.
    pub fn get(&self, part: Part) -> Option<Digest> {
        match part {
            Part::Services => self.services,
            Part::Routes(bucket) => self.routes.get(usize::from(bucket)).copied().flatten(),
            Part::Callers(bucket) => self.callers.get(usize::from(bucket)).copied().flatten(),
        }
    }

    /// Sets the chunk name of `part` and returns the previous name. Buckets at or above
    /// [`BUCKET_COUNT`] are ignored.
    pub fn set(&mut self, part: Part, name: Option<Digest>) -> Option<Digest> {
        let stored = match part {
            Part::Services => Some(&mut self.services),
            Part::Routes(bucket) => self.routes.get_mut(usize::from(bucket)),
            Part::Callers(bucket) => self.callers.get_mut(usize::from(bucket)),
        };
        stored.and_then(|stored| std::mem::replace(stored, name))
    }

    /// Returns the nonempty parts with their chunk names.
    pub fn iter(&self) -> impl Iterator<Item = (Part, Digest)> + '_ {
        Part::all().filter_map(|part| self.get(part).map(|name| (part, name)))
    }
}
