//! Head of a request from an ingress to a guard.

use super::kind::HopKind;
use super::parse::{self, HopError};
use crate::headers;
use fescuemux_core::base::{Incarnation, RequestId, ServerId};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

/// Service-wide values that a guard compares its backend server with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HopBaseline {
    /// Median time from sending a request to its answer.
    pub median: Duration,
    /// Share of failed requests, 0 to 1.
    pub error_ratio: f64,
}

/// What an ingress tells a guard about a request, besides the request itself.
#[derive(Clone, Debug, PartialEq)]
pub struct HopRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Number of earlier attempts.
    pub attempt: u8,
    /// Backend server that the request is for.
    pub server: ServerId,
    /// Incarnation of the guard that the ingress knows.
    pub incarnation: Incarnation,
    /// Remaining time, more than zero.
    pub deadline: Duration,
    /// How the request is meant.
    pub kind: HopKind,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority of the service, larger is more urgent.
    pub priority: u8,
    /// Service-wide values, absent while the ingress has too few answers.
    pub baseline: Option<HopBaseline>,
}

const PPM: f64 = 1_000_000.0;

impl HopRequest {
    /// Writes the headers, replacing any that are there.
    pub fn write(&self, headers: &mut HeaderMap) {
        let mut put = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name, value);
            }
        };
        put(headers::REQUEST_ID, format!("{:032x}", self.id));
        put(headers::ATTEMPT, self.attempt.to_string());
        put(headers::SERVER, self.server.to_string());
        put(headers::INCARNATION, self.incarnation.to_string());
        put(headers::DEADLINE_MS, self.deadline.as_millis().max(1).to_string());
        put(headers::KIND, self.kind.as_str().to_owned());
        put(headers::IDEMPOTENT, if self.idempotent { "yes" } else { "no" }.to_owned());
        put(headers::PRIORITY, self.priority.to_string());
        if let Some(baseline) = self.baseline {
            let ppm = (baseline.error_ratio * PPM).round() as u64;
            put(headers::BASELINE, format!("{},{ppm}", baseline.median.as_micros()));
        }
    }
}

impl TryFrom<&HeaderMap> for HopRequest {
    type Error = HopError;

    fn try_from(map: &HeaderMap) -> Result<HopRequest, HopError> {
        let id = parse::one(map, headers::REQUEST_ID)?;
        let kind = parse::one(map, headers::KIND)?;
        let deadline_ms: u32 = parse::number(map, headers::DEADLINE_MS)?;
        Ok(HopRequest {
            id: RequestId::from_str_radix(id, 16)
                .map_err(|_| HopError::Malformed(headers::REQUEST_ID))?,
            attempt: parse::number(map, headers::ATTEMPT)?,
            server: parse::one(map, headers::SERVER)?.into(),
            incarnation: parse::number(map, headers::INCARNATION)?,
            deadline: Duration::from_millis(deadline_ms.max(1).into()),
            kind: HopKind::parse(kind).ok_or(HopError::Malformed(headers::KIND))?,
            idempotent: read_idempotent(map)?,
            priority: parse::number(map, headers::PRIORITY)?,
            baseline: read_baseline(map)?,
        })
    }
}

fn read_idempotent(map: &HeaderMap) -> Result<bool, HopError> {
    match parse::one(map, headers::IDEMPOTENT)? {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(HopError::Malformed(headers::IDEMPOTENT)),
    }
}

fn read_baseline(map: &HeaderMap) -> Result<Option<HopBaseline>, HopError> {
    let Some(text) = parse::optional(map, headers::BASELINE)? else { return Ok(None) };
    let [micros, ppm] = parse::numbers(text).ok_or(HopError::Malformed(headers::BASELINE))?;
    let error_ratio = (ppm as f64 / PPM).min(1.0);
    Ok(Some(HopBaseline { median: Duration::from_micros(micros), error_ratio }))
}
