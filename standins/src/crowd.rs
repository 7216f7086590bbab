//! Crowds of clients that send too much, too slowly or without end, and stay open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::process_use::{process_use, unread_bytes};

/// Number of clients of a crowd.
pub const CROWD: usize = 320;
/// Descriptors of a process that are reserved for files; sockets and pipes share the others.
pub const FILE_DESCRIPTORS: usize = 200;
/// Size of the largest legal body, in bytes.
pub const BODY_MAX_BYTES: usize = 250_000;
/// Number of bytes by which a stalled body stops short of its end.
const MISSING_BYTES: usize = 8;
/// Size of the heads and of the empty lines that a client sends, in bytes.
const HEAD_BYTES: usize = 180_000;
/// Size of what a client writes at once where it sends in pieces, in bytes.
const PIECE_BYTES: usize = 10_000;
/// Content of a very small chunk, in bytes.
const SMALL_CHUNK_BYTES: usize = 8;
/// Content of a body in very small chunks, in bytes.
const SMALL_TOTAL_BYTES: usize = 80_000;
/// Content of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 50_000;
/// Message of a peer, in bytes.
const PEER_MESSAGE_BYTES: usize = 900_000;
/// Time for which a client waits for the process to read on. A process that reads no more has
/// bounded what it holds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which it is checked whether the process has read on.
const READ_POLL: Duration = Duration::from_millis(50);
/// Number of checks without a change after which the process reads no more.
const UNCHANGED_POLLS: u32 = 40;
/// Number of checks after which clients that have not sent all count as a fault.
const SENT_POLLS: u32 = 800;

const UPGRADE: &str = "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n\
    Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

fn pieces(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect()
}

/// A request with a head over any limit.
pub fn head_over_the_limit(post: &str) -> Vec<Vec<u8>> {
    let filler = "x".repeat(HEAD_BYTES);
    vec![format!("{post}Filler: {filler}\r\n\r\n").into_bytes()]
}

/// A head that never ends.
pub fn head_without_end(post: &str) -> Vec<Vec<u8>> {
    let lines = "A: b\r\n".repeat(8) + &format!("Filler: {}", "x".repeat(HEAD_BYTES));
    pieces(format!("{post}{lines}").as_bytes())
}

/// Empty lines before a request, without end.
pub fn empty_lines(_post: &str) -> Vec<Vec<u8>> {
    pieces("\r\n".repeat(HEAD_BYTES / 2).as_bytes())
}

/// Nothing at all.
pub fn nothing(_post: &str) -> Vec<Vec<u8>> {
    Vec::new()
}

fn body_with_length(post: &str, sent: usize) -> Vec<u8> {
    let body = "x".repeat(sent);
    format!("{post}Content-Length: {BODY_MAX_BYTES}\r\n\r\n{body}").into_bytes()
}

/// A large legal body.
pub fn whole_body(post: &str) -> Vec<Vec<u8>> {
    vec![body_with_length(post, BODY_MAX_BYTES)]
}

/// A large legal body at once, short of its end.
pub fn stalled_body(post: &str) -> Vec<Vec<u8>> {
    vec![body_with_length(post, BODY_MAX_BYTES - MISSING_BYTES)]
}

/// A large legal body in pieces, short of its end.
pub fn stalled_body_in_pieces(post: &str) -> Vec<Vec<u8>> {
    pieces(&body_with_length(post, BODY_MAX_BYTES - MISSING_BYTES))
}

/// Returns a chunked body without its last chunk.
fn chunked_body(post: &str, total: usize, chunk: usize) -> Vec<Vec<u8>> {
    let head = format!("{post}Transfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk)).repeat(total / chunk);
    pieces(format!("{head}{chunk}").as_bytes())
}

/// A body in large chunks, short of its end.
pub fn large_chunks(post: &str) -> Vec<Vec<u8>> {
    chunked_body(post, BODY_MAX_BYTES - LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES)
}

/// A body in very small chunks, short of its end.
pub fn small_chunks(post: &str) -> Vec<Vec<u8>> {
    chunked_body(post, SMALL_TOTAL_BYTES, SMALL_CHUNK_BYTES)
}

/// A message of a peer, short of its end.
pub fn stalled_message(_post: &str) -> Vec<Vec<u8>> {
    let mut message = vec![0x82, 0xff];
    message.extend((PEER_MESSAGE_BYTES as u64).to_be_bytes());
    message.extend([0; 4]);
    message.resize(PEER_MESSAGE_BYTES - MISSING_BYTES, 0);
    vec![UPGRADE.as_bytes().to_vec(), message]
}

/// An open crowd. Call `close` when it is no longer needed.
pub struct Crowd {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Lets all clients connect and send.
    pub fn open(address: SocketAddr, writes: Vec<Vec<u8>>) -> Self {
        let writes = Arc::new(writes);
        let sent = Arc::new(AtomicUsize::new(0));
        let start = |_| tokio::spawn(run_client(address, Arc::clone(&writes), Arc::clone(&sent)));
        let clients = (0..CROWD).map(start).collect();
        Self {
            address,
            sent,
            clients,
        }
    }

    /// Waits until the process has read what the crowd sent, reads no more of it or has ended.
    /// Returns the most descriptors that it had open.
    pub async fn settle(&self, process: u32) -> usize {
        let mut descriptors = 0;
        for _ in 0..SENT_POLLS {
            let Some(used) = process_use(process) else {
                break;
            };
            descriptors = descriptors.max(used.descriptors);
            if self.sent.load(Ordering::Relaxed) == CROWD {
                break;
            }
            tokio::time::sleep(READ_POLL).await;
        }
        self.wait_until_read().await;
        descriptors
    }

    async fn wait_until_read(&self) {
        let mut unread = u64::MAX;
        let mut unchanged = 0;
        while unread > 0 && unchanged < UNCHANGED_POLLS {
            tokio::time::sleep(READ_POLL).await;
            let now = unread_bytes(self.address);
            unchanged = if now == unread { unchanged + 1 } else { 0 };
            unread = now;
        }
    }

    /// Closes all connections.
    pub fn close(self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

/// Connects, sends as long as the process takes it, and keeps the connection open.
async fn run_client(address: SocketAddr, writes: Arc<Vec<Vec<u8>>>, sent: Arc<AtomicUsize>) {
    let connected = TcpStream::connect(address).await;
    if let Ok(mut stream) = connected {
        send(&mut stream, &writes).await;
        sent.fetch_add(1, Ordering::Relaxed);
        std::future::pending::<()>().await;
    }
    sent.fetch_add(1, Ordering::Relaxed);
}

async fn send(stream: &mut TcpStream, writes: &[Vec<u8>]) {
    for bytes in writes {
        let written = tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        if bytes == UPGRADE.as_bytes() {
            // What follows belongs to the protocol that the process agrees to.
            let _ = stream.read(&mut [0; 512]).await;
        }
    }
}
