//! Construction of the requests of a run.

use super::args::{Args, IdempotencyKey};
use super::expected::Expected;
use bytes::Bytes;
use fescuemux_standins::server::{RESPONSE_BYTES_HEADER, TAG_HEADER, response_byte};
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use uuid::Uuid;

/// Parts that all requests of a run have in common.
#[derive(Debug)]
pub(crate) struct RequestTemplate {
    method: Method,
    path: String,
    headers: HeaderMap,
    idempotency_key: IdempotencyKey,
    body: Bytes,
    body_sha256: String,
    run_id: Uuid,
    pub(crate) answer_bytes: Option<u64>,
}

impl RequestTemplate {
    pub(crate) fn new(args: &Args) -> RequestTemplate {
        let body: Bytes = (0..args.body_bytes).map(|index| response_byte(0, index)).collect();
        let mut headers = HeaderMap::new();
        if let Some(size) = args.answer_bytes {
            headers.insert(RESPONSE_BYTES_HEADER, HeaderValue::from(size));
        }
        if let Some(ms) = args.deadline_ms {
            headers.insert("fescuemux-deadline-ms", HeaderValue::from(ms));
        }
        for (name, value) in &args.headers {
            headers.append(name, value.clone());
        }
        RequestTemplate {
            method: args.method.clone(),
            path: args.path.clone(),
            headers,
            idempotency_key: args.key,
            body_sha256: format!("{:x}", Sha256::digest(&body)),
            body,
            run_id: Uuid::now_v7(),
            answer_bytes: args.answer_bytes,
        }
    }

    /// Returns request number `index` to `addr`, and the expected echo, which proves that the
    /// request arrived completely. The tag is unique among all runs, so that a response to a
    /// request of an earlier run is detected.
    pub(crate) fn request(
        &self,
        addr: SocketAddr,
        index: u64,
    ) -> anyhow::Result<(Request<Full<Bytes>>, Expected)> {
        let tag = format!("{}-{index}", self.run_id.simple());
        let mut request = Request::builder().method(self.method.clone()).uri(self.path.as_str());
        if let Some(headers) = request.headers_mut() {
            headers.clone_from(&self.headers);
            headers.insert(TAG_HEADER, HeaderValue::from_str(&tag)?);
            if !headers.contains_key(header::HOST) {
                headers.insert(header::HOST, HeaderValue::from_str(&addr.to_string())?);
            }
            if self.idempotency_key == IdempotencyKey::Uuidv7 {
                let key = Uuid::now_v7().to_string();
                headers.insert("idempotency-key", HeaderValue::from_str(&key)?);
            }
        }
        let request = request.body(Full::new(self.body.clone()))?;
        let expected = Expected {
            tag,
            method: self.method.to_string(),
            path: request.uri().path().to_owned(),
            body_bytes: self.body.len() as u64,
            body_sha256: self.body_sha256.clone(),
        };
        Ok((request, expected))
    }
}
