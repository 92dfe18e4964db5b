//! JSON encoding of the configuration head.

use super::digest::{
    format_digest, format_part, format_plan_id, from_millis, parse_digest, parse_part,
    parse_plan_id_field, to_millis,
};
use super::error::{from_json, to_json};
use super::{ConfigError, FORMAT};
use fescuemux_core::config::{
    ChunkDigests, Digest, GenerationRecord, Head, MAX_HISTORY, Part, check_author,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Maximum size of an encoded head in bytes; the maximum value size of the store.
const MAX_HEAD_BYTES: usize = 1_000_000;

#[derive(Serialize, Deserialize)]
struct HeadBody {
    format: u32,
    latest: RecordBody,
    names: BTreeMap<String, String>,
    history: Vec<RecordBody>,
}

/// Confirmed generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordBody {
    /// Number of the generation.
    pub generation: u64,
    /// Id of the plan, as 32 hexadecimal digits.
    pub plan: String,
    /// Operator who confirmed the generation.
    pub author: SmolStr,
    /// Wall-clock time of the confirmation, in milliseconds since 1970.
    pub time_ms: u64,
    /// Names of the chunks that the generation replaced, by part; `None` for a part that had no
    /// chunk.
    pub replaced: BTreeMap<String, Option<String>>,
}

/// Encodes a head.
pub fn encode_head(head: &Head) -> Vec<u8> {
    let names = head.names.iter().map(|(part, name)| (format_part(part), format_digest(&name)));
    to_json(&HeadBody {
        format: FORMAT,
        latest: RecordBody::from(&head.latest),
        names: names.collect(),
        history: head.history.iter().map(RecordBody::from).collect(),
    })
}

/// Decodes a head, ignoring unknown fields.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid head, or its generations are not consecutive.
pub fn decode_head(bytes: &[u8]) -> Result<Head, ConfigError> {
    head_from_body(from_json(bytes, MAX_HEAD_BYTES)?)
}

/// Decodes a head in order to write a new one based on it.
///
/// # Errors
///
/// Returns an error as [`decode_head`] does, and if a newer version wrote the head.
pub fn decode_head_for_update(bytes: &[u8]) -> Result<Head, ConfigError> {
    let body: HeadBody = from_json(bytes, MAX_HEAD_BYTES)?;
    if body.format > FORMAT {
        return Err(ConfigError::NewerFormat(body.format));
    }
    head_from_body(body)
}

fn head_from_body(body: HeadBody) -> Result<Head, ConfigError> {
    if body.history.len() > MAX_HISTORY {
        return Err(ConfigError::shape("history", format!("more than {MAX_HISTORY} records")));
    }
    let mut names = ChunkDigests::default();
    for (part, name) in &body.names {
        names.set(parse_part_field(part)?, Some(parse_digest_field(name)?));
    }
    let latest = GenerationRecord::try_from(body.latest).map_err(|error| error.within("latest"))?;
    let mut history = Vec::with_capacity(body.history.len());
    let mut expected_generation = latest.generation;
    for (i, record) in body.history.into_iter().enumerate() {
        let path = format!("history[{i}]");
        let record = GenerationRecord::try_from(record).map_err(|error| error.within(&path))?;
        expected_generation -= 1;
        if record.generation != expected_generation {
            return Err(ConfigError::shape(path, "generations have a gap"));
        }
        history.push(record);
    }
    Ok(Head { latest, names, history })
}

fn parse_part_field(text: &str) -> Result<Part, ConfigError> {
    parse_part(text).ok_or_else(|| ConfigError::shape(text, "unknown part"))
}

fn parse_digest_field(text: &str) -> Result<Digest, ConfigError> {
    parse_digest(text).ok_or_else(|| ConfigError::shape("names", "not a digest"))
}

impl From<&GenerationRecord> for RecordBody {
    fn from(record: &GenerationRecord) -> RecordBody {
        let replaced = record
            .replaced
            .iter()
            .map(|(part, name)| (format_part(*part), name.as_ref().map(format_digest)));
        RecordBody {
            generation: record.generation,
            plan: format_plan_id(record.plan),
            author: record.author.clone(),
            time_ms: to_millis(record.time),
            replaced: replaced.collect(),
        }
    }
}

impl TryFrom<RecordBody> for GenerationRecord {
    type Error = ConfigError;

    fn try_from(body: RecordBody) -> Result<GenerationRecord, ConfigError> {
        if body.generation == 0 {
            return Err(ConfigError::shape("generation", "must be above zero"));
        }
        check_author("author", &body.author)?;
        let mut replaced = Vec::with_capacity(body.replaced.len());
        for (part, name) in &body.replaced {
            let name = name.as_deref().map(parse_digest_field).transpose()?;
            replaced.push((parse_part_field(part)?, name));
        }
        replaced.sort_unstable_by_key(|(part, _)| *part);
        Ok(GenerationRecord {
            generation: body.generation,
            plan: parse_plan_id_field("plan", &body.plan)?,
            author: body.author,
            time: from_millis("time_ms", body.time_ms)?,
            replaced,
        })
    }
}
