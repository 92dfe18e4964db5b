//! Removal of headers that must not pass a proxy.

use fescuemux_wire::headers;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
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

/// Removes the headers that belong to one connection, with those that `Connection` names, and
/// `Expect`, which the next hop decides on its own.
pub(crate) fn strip_connection_headers(map: &mut HeaderMap) {
    let named: Vec<String> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        // A caller must not be able to remove the length of its body from what is passed on.
        if name != "content-length" {
            map.remove(name.as_str());
        }
    }
    for name in CONNECTION_HEADERS {
        map.remove(name);
    }
    map.remove(KEEP_ALIVE);
    map.remove(header::EXPECT);
}

/// Removes every header with the fleet's prefix.
pub(crate) fn strip_fleet_headers(map: &mut HeaderMap<HeaderValue>) {
    let names: Vec<HeaderName> =
        map.keys().filter(|name| name.as_str().starts_with(headers::PREFIX)).cloned().collect();
    for name in names {
        map.remove(name);
    }
}
