//! Status codes that promise that a request has not run.

/// Returns whether a response with this status code promises that the request has not run and never
/// will. Callers then send again requests that are not idempotent, as RFC 9110 allows after 408
/// (section 15.5.9) and 421 (section 15.5.20). Only a request with [`Verdict::NotRun`] may get such a
/// response.
///
/// [`Verdict::NotRun`]: super::Verdict::NotRun
pub fn is_refusal_status(code: u16) -> bool {
    matches!(code, 408 | 421 | 429 | 503)
}
