//! Ends the service of a request.
//!
//! Load: as many connections as there are places, all of them busy. An answered connection then
//! makes room for those that wait in the backlog, so that no client keeps its place by asking on.

use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};

use crate::work::intake::gate::ConnectionSlot;

/// Records that a request has been answered. The answer closes its connection if others may be
/// waiting for its place, unless it hands the connection over to another protocol.
pub fn finish_answer<B>(slot: &ConnectionSlot, response: &mut Response<B>) {
    slot.rest();
    let is_upgrade = response.status() == StatusCode::SWITCHING_PROTOCOLS;
    if !is_upgrade && slot.is_contended() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}
