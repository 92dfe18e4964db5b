//! Headers of a request from an ingress to a guard.

use super::kind::HopKind;
use super::parse::{self, HopError};
use crate::headers;
use fescuemux_core::base::{Incarnation, RequestId, ServerId};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

/// Service-wide statistics with which a guard compares its backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HopBaseline {
    /// Median service time of successful responses, over the backend servers of the service. See
    /// [`HopResponse::service_time`](super::HopResponse::service_time).
    pub median: Duration,
    /// Share of responses that are server errors, from 0 to 1.
    pub error_ratio: f64,
}

/// Metadata that an ingress adds to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HopRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Number of earlier attempts.
    pub attempt: u8,
    /// Backend server that the request is for.
    pub server: ServerId,
    /// Incarnation of the guard, as known to the ingress.
    pub incarnation: Incarnation,
    /// Time remaining until the deadline of the request, always above zero.
    pub deadline: Duration,
    /// Kind of the request.
    pub kind: HopKind,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority of the service; the largest value goes first.
    pub priority: u8,
    /// Service-wide baseline, absent while the ingress has received too few responses.
    pub baseline: Option<HopBaseline>,
}

const PPM: f64 = 1_000_000.0;

impl HopRequest {
    /// Writes the headers, replacing existing ones.
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
        let id = parse::required(map, headers::REQUEST_ID)?;
        let kind = parse::required(map, headers::KIND)?;
        let deadline_ms: u32 = parse::required_number(map, headers::DEADLINE_MS)?;
        Ok(HopRequest {
            id: RequestId::from_str_radix(id, 16)
                .map_err(|_| HopError::Malformed(headers::REQUEST_ID))?,
            attempt: parse::required_number(map, headers::ATTEMPT)?,
            server: parse::required(map, headers::SERVER)?.into(),
            incarnation: parse::required_number(map, headers::INCARNATION)?,
            deadline: Duration::from_millis(deadline_ms.max(1).into()),
            kind: HopKind::parse(kind).ok_or(HopError::Malformed(headers::KIND))?,
            idempotent: read_idempotent(map)?,
            priority: parse::required_number(map, headers::PRIORITY)?,
            baseline: read_baseline(map)?,
        })
    }
}

fn read_idempotent(map: &HeaderMap) -> Result<bool, HopError> {
    match parse::required(map, headers::IDEMPOTENT)? {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(HopError::Malformed(headers::IDEMPOTENT)),
    }
}

fn read_baseline(map: &HeaderMap) -> Result<Option<HopBaseline>, HopError> {
    let Some(text) = parse::optional(map, headers::BASELINE)? else { return Ok(None) };
    let [micros, ppm] = parse::parse_numbers(text).ok_or(HopError::Malformed(headers::BASELINE))?;
    let error_ratio = (ppm as f64 / PPM).min(1.0);
    Ok(Some(HopBaseline { median: Duration::from_micros(micros), error_ratio }))
}
