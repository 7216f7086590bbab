//! Further shapes of what the clients of a crowd send: requests whose answers nobody reads, bodies
//! that never end, and legal bodies of many small parts.

use hemlockramp::daemons::peer_link::encode_frame;
use hemlockramp::wire::peer::{PeerBody, PeerCall, PeerFrame};

use crate::crowd::BODY_MAX_BYTES;

/// Number of requests that a client sends one after the other without reading an answer.
pub const UNREAD_REQUESTS: usize = 400;
/// Number of calls that a peer sends without reading a reply.
const UNREAD_CALLS: usize = 16;
/// Size of an endless chunk extension or trailer, in bytes.
const ENDLESS_BYTES: usize = 180_000;
/// Size of the largest legal JSON body of a gateway, in bytes.
const JSON_MAX_BYTES: usize = 1_048_576;
/// Size of what a client writes at once where it sends in pieces, in bytes.
const PIECE_BYTES: usize = 10_000;
/// First byte of a whole binary message of a websocket.
const BINARY_MESSAGE: u8 = 0x82;
/// Second byte of a masked message whose length follows in 8 bytes.
const LENGTH_FOLLOWS: u8 = 0xff;

fn pieces(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect()
}

/// As many requests without a body, one after the other on one connection.
pub fn unread_answers(head: &str, requests: usize) -> Vec<Vec<u8>> {
    pieces(format!("{head}\r\n").repeat(requests).as_bytes())
}

/// A chunked body whose first chunk has an extension without end.
pub fn endless_extension(head: &str) -> Vec<Vec<u8>> {
    let extension = "x".repeat(ENDLESS_BYTES);
    pieces(format!("{head}Transfer-Encoding: chunked\r\n\r\n5;{extension}").as_bytes())
}

/// A chunked body with trailers without end.
pub fn endless_trailers(head: &str) -> Vec<Vec<u8>> {
    let trailers = "A: b\r\n".repeat(ENDLESS_BYTES / 6);
    pieces(format!("{head}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n{trailers}").as_bytes())
}

/// A body that is announced and never sent.
pub fn announced_body(head: &str) -> Vec<Vec<u8>> {
    let length = format!("Content-Length: {BODY_MAX_BYTES}\r\n");
    vec![format!("{head}{length}Expect: 100-continue\r\n\r\n").into_bytes()]
}

/// A legal JSON body of the largest size: a list of many short names.
pub fn many_names(head: &str) -> Vec<Vec<u8>> {
    json_list(head, "{\"jobs\":[", "\"a\"")
}

/// A legal JSON body of the largest size: a ticket of many teams.
pub fn many_teams(head: &str) -> Vec<Vec<u8>> {
    let open = "{\"number\":2,\"author\":\"operator\",\"teams\":[";
    json_list(head, open, "{\"team\":\"a\",\"quota_accelerators\":1}")
}

/// Returns a request whose body is an object that ends with a list of equal items.
fn json_list(head: &str, open: &str, item: &str) -> Vec<Vec<u8>> {
    let count = (JSON_MAX_BYTES - 64) / (item.len() + 1);
    let body = format!("{open}{}{item}]}}", format!("{item},").repeat(count - 1));
    let length = body.len();
    vec![format!("{head}Content-Length: {length}\r\n\r\n{body}").into_bytes()]
}

/// Calls of a peer whose replies nobody reads, as messages of a websocket.
pub fn unread_calls(upgrade: &[u8], call: &PeerCall) -> Vec<Vec<u8>> {
    let mut messages = Vec::new();
    for id in 1..=UNREAD_CALLS as u64 {
        let frame = PeerFrame {
            id,
            body: PeerBody::Call(call.clone()),
        };
        let frame = encode_frame(&frame).expect("a frame that can be encoded");
        messages.extend(masked_message(&frame.into_data()));
    }
    vec![upgrade.to_vec(), messages]
}

/// Returns a message of a client; its mask is zero.
fn masked_message(content: &[u8]) -> Vec<u8> {
    let mut message = vec![BINARY_MESSAGE, LENGTH_FOLLOWS];
    message.extend((content.len() as u64).to_be_bytes());
    message.extend([0; 4]);
    message.extend(content);
    message
}
