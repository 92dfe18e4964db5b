//! Configuration of one route, which maps requests to a service.

use super::bounds::{
    FieldError, MAX_HOST_BYTES, MAX_METHOD_BYTES, MAX_PATH_BYTES, check_deadline, check_name,
};
use crate::base::{RouteId, ServiceId};
use smol_str::SmolStr;
use std::time::Duration;

/// Configuration of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// HTTP method in upper case; `None` matches every method.
    pub method: Option<SmolStr>,
    /// Host in lower case without port; `None` matches every host.
    pub host: Option<SmolStr>,
    /// URL path prefix of whole segments without a trailing slash; `/` matches every path.
    pub path_prefix: SmolStr,
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Whether a request of the route may run more than once.
    pub idempotent: bool,
    /// Deadline of requests that state no deadline; `None` uses the default of the service.
    pub deadline: Option<Duration>,
}

impl Route {
    /// Checks every field.
    ///
    /// # Errors
    /// Fails at the first field that is out of bounds.
    pub fn check(&self) -> Result<(), FieldError> {
        check_name("id", &self.id)?;
        self.method.as_deref().map_or(Ok(()), check_method)?;
        self.host.as_deref().map_or(Ok(()), check_host)?;
        check_path_prefix(&self.path_prefix)?;
        check_name("service", &self.service)?;
        self.deadline.map_or(Ok(()), |deadline| check_deadline("deadline_ms", deadline))
    }

    /// Returns the fields that select requests. No two routes of a configuration have the same
    /// selector.
    pub(super) fn selector(&self) -> (Option<&str>, Option<&str>, &str) {
        (self.method.as_deref(), self.host.as_deref(), &self.path_prefix)
    }
}

fn check_method(method: &str) -> Result<(), FieldError> {
    let is_ok = (1..=MAX_METHOD_BYTES).contains(&method.len())
        && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
    if is_ok {
        return Ok(());
    }
    let reason = format!("must have 1 to {MAX_METHOD_BYTES} of the characters A-Z -");
    Err(FieldError::new("method", reason))
}

fn check_host(host: &str) -> Result<(), FieldError> {
    let is_allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_');
    let is_ok = (1..=MAX_HOST_BYTES).contains(&host.len()) && host.bytes().all(is_allowed);
    if is_ok {
        return Ok(());
    }
    let reason =
        format!("must have 1 to {MAX_HOST_BYTES} of the characters a-z 0-9 . - _, without port");
    Err(FieldError::new("host", reason))
}

fn check_path_prefix(path_prefix: &str) -> Result<(), FieldError> {
    let is_allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    let is_ok = path_prefix.len() <= MAX_PATH_BYTES
        && path_prefix.starts_with('/')
        && (path_prefix == "/" || !path_prefix.ends_with('/'))
        && !path_prefix.contains("//")
        && path_prefix.bytes().all(is_allowed);
    if is_ok {
        return Ok(());
    }
    let reason = format!(
        "must start with /, have no / at the end, no //, ? or #, and at most {MAX_PATH_BYTES} \
         visible ASCII characters"
    );
    Err(FieldError::new("path_prefix", reason))
}
