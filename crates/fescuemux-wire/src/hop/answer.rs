//! Headers of a response from a guard to an ingress.

use super::kind::HopHealth;
use super::parse::{self, HopError};
use crate::headers;
use fescuemux_core::base::Verdict;
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

/// Load of a backend server at the time of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of busy slots.
    pub busy: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Number of requests waiting for a slot.
    pub queued: u32,
}

/// Metadata that a guard adds to the response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopResponse {
    /// Whether the request ran, as far as the guard knows.
    pub verdict: Verdict,
    /// Load of the backend server, absent if the guard does not know the server.
    pub load: Option<ServerLoad>,
    /// Health of the backend server, absent if the guard does not know the server.
    pub health: Option<HopHealth>,
    /// Time that the backend server took to process the request, without queueing and network.
    /// Ingresses compute the service-wide baseline from these times.
    pub service_time: Option<Duration>,
}

impl HopResponse {
    /// Writes the headers, replacing existing ones.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(headers::VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        if let Some(ServerLoad { busy, slots, queued }) = self.load
            && let Ok(value) = HeaderValue::try_from(format!("{busy},{slots},{queued}"))
        {
            headers.insert(headers::LOAD, value);
        }
        if let Some(health) = self.health {
            headers.insert(headers::HEALTH, HeaderValue::from_static(health.as_str()));
        }
        if let Some(service_time) = self.service_time {
            let micros = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX);
            headers.insert(headers::SERVICE_TIME_US, HeaderValue::from(micros));
        }
    }
}

impl TryFrom<&HeaderMap> for HopResponse {
    type Error = HopError;

    fn try_from(map: &HeaderMap) -> Result<HopResponse, HopError> {
        let verdict = parse::required(map, headers::VERDICT)?;
        Ok(HopResponse {
            verdict: Verdict::parse(verdict).ok_or(HopError::Malformed(headers::VERDICT))?,
            load: read_load(map)?,
            health: read_health(map)?,
            service_time: read_service_time(map)?,
        })
    }
}

fn read_load(map: &HeaderMap) -> Result<Option<ServerLoad>, HopError> {
    let Some(text) = parse::optional(map, headers::LOAD)? else { return Ok(None) };
    let malformed = || HopError::Malformed(headers::LOAD);
    let values: [u64; 3] = parse::parse_numbers(text).ok_or_else(malformed)?;
    let [busy, slots, queued] = values.map(|value| u32::try_from(value).unwrap_or(u32::MAX));
    Ok(Some(ServerLoad { busy, slots, queued }))
}

fn read_health(map: &HeaderMap) -> Result<Option<HopHealth>, HopError> {
    let Some(text) = parse::optional(map, headers::HEALTH)? else { return Ok(None) };
    HopHealth::parse(text).map(Some).ok_or(HopError::Malformed(headers::HEALTH))
}

fn read_service_time(map: &HeaderMap) -> Result<Option<Duration>, HopError> {
    let Some(text) = parse::optional(map, headers::SERVICE_TIME_US)? else { return Ok(None) };
    let micros = text.parse().map_err(|_| HopError::Malformed(headers::SERVICE_TIME_US))?;
    Ok(Some(Duration::from_micros(micros)))
}
