//! Removal of headers that a proxy must not forward.

use fescuemux_wire::headers;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";

/// Removes hop-by-hop headers, headers named in `Connection`, and `Expect`, which is set separately
/// for each hop.
pub(crate) fn strip_connection_headers(header_map: &mut HeaderMap) {
    let named_headers: Vec<String> = header_map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named_headers {
        // A caller must not be able to remove the body length from the forwarded request.
        if name != "content-length" {
            header_map.remove(name.as_str());
        }
    }
    for name in CONNECTION_HEADERS {
        header_map.remove(name);
    }
    header_map.remove(KEEP_ALIVE);
    header_map.remove(header::EXPECT);
}

/// Removes all headers with the prefix [`headers::PREFIX`].
pub(crate) fn strip_fleet_headers(header_map: &mut HeaderMap<HeaderValue>) {
    let names: Vec<HeaderName> = header_map
        .keys()
        .filter(|name| name.as_str().starts_with(headers::PREFIX))
        .cloned()
        .collect();
    for name in names {
        header_map.remove(name);
    }
}
