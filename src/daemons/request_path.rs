//! Reads the path and the query of a request to a daemon.

use http::Uri;

/// Number that hexadecimal digits are written in.
const HEX_RADIX: u32 = 16;

/// Returns the segments of a path, decoded; `None` if one of them is not valid text.
pub fn path_segments(uri: &Uri) -> Option<Vec<String>> {
    let segments = uri.path().split('/').filter(|segment| !segment.is_empty());
    segments
        .map(|segment| decode_percent(segment, false))
        .collect()
}

/// Returns the names and values of a query, decoded; `None` if one of them is not valid text.
pub fn query_pairs(uri: &Uri) -> Option<Vec<(String, String)>> {
    let query = uri.query().unwrap_or_default();
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let decoded = pairs.map(|pair| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        Some((decode_percent(name, true)?, decode_percent(value, true)?))
    });
    decoded.collect()
}

/// Decodes `%` and two hexadecimal digits as a byte and, in a query, `+` as a space.
fn decode_percent(text: &str, in_query: bool) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let high = char::from(rest.next()?).to_digit(HEX_RADIX)?;
                let low = char::from(rest.next()?).to_digit(HEX_RADIX)?;
                u8::try_from(high * HEX_RADIX + low).ok()?
            }
            b'+' if in_query => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}
