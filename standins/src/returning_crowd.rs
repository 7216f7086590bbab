//! A crowd whose clients come back at once whenever the process closes their connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

use crate::crowd::CROWD;

/// Number of connections that a client makes at most.
const RETURNS_MAX: usize = 20_000;
/// Time for which a client waits for the process to read on.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a connection that could not be made.
const CONNECT_RETRY: Duration = Duration::from_millis(20);
/// Interval at which it is checked whether the crowd has come.
const COME_POLL: Duration = Duration::from_millis(20);

/// What a kind of client writes on each of its connections.
#[derive(Clone, Debug)]
pub struct ClientKind {
    writes: Vec<Vec<u8>>,
    /// Whether it writes the same again and again, and so is always busy.
    repeats: bool,
}

impl ClientKind {
    /// Returns a kind that writes once.
    pub fn once(writes: Vec<Vec<u8>>) -> Self {
        Self {
            writes,
            repeats: false,
        }
    }

    /// Returns a kind that writes the same again and again.
    pub fn repeating(writes: Vec<Vec<u8>>) -> Self {
        Self {
            writes,
            repeats: true,
        }
    }
}

/// A running crowd on a thread of its own. Call `close` when it is no longer needed.
pub struct ReturningCrowd {
    connections: Arc<AtomicUsize>,
    closing: Arc<Notify>,
    closed: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl ReturningCrowd {
    /// Lets all clients connect. They take the kinds in turn.
    pub fn open(address: SocketAddr, kinds: Vec<ClientKind>) -> Self {
        let connections = Arc::new(AtomicUsize::new(0));
        let closing = Arc::new(Notify::new());
        let closed = Arc::new(AtomicBool::new(false));
        let shared = (
            Arc::clone(&connections),
            Arc::clone(&closing),
            Arc::clone(&closed),
        );
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("build the runtime");
            let (connections, closing, closed) = shared;
            runtime.block_on(async move {
                let kinds: Vec<Arc<ClientKind>> = kinds.into_iter().map(Arc::new).collect();
                for index in 0..CROWD {
                    let kind = Arc::clone(&kinds[index % kinds.len()]);
                    tokio::spawn(run_client(address, kind, Arc::clone(&connections)));
                }
                while !closed.load(Ordering::Relaxed) {
                    closing.notified().await;
                }
            });
        });
        Self {
            connections,
            closing,
            closed,
            thread,
        }
    }

    /// Waits until as many connections have been made as there are clients.
    pub async fn settle(&self) {
        while self.connections.load(Ordering::Relaxed) < CROWD {
            tokio::time::sleep(COME_POLL).await;
        }
    }

    /// Closes all connections.
    pub fn close(self) {
        self.closed.store(true, Ordering::Relaxed);
        self.closing.notify_one();
        self.thread.join().expect("the crowd's thread");
    }
}

async fn run_client(address: SocketAddr, kind: Arc<ClientKind>, connections: Arc<AtomicUsize>) {
    for _ in 0..RETURNS_MAX {
        let Ok(stream) = TcpStream::connect(address).await else {
            tokio::time::sleep(CONNECT_RETRY).await;
            continue;
        };
        connections.fetch_add(1, Ordering::Relaxed);
        let (reader, writer) = stream.into_split();
        tokio::select! {
            () = write(writer, &kind) => {}
            () = read_to_end(reader) => {}
        }
    }
}

/// Writes as long as the process takes it, and keeps the connection open. Never returns.
async fn write(mut writer: OwnedWriteHalf, kind: &ClientKind) {
    let mut left = kind.writes.iter();
    loop {
        let Some(bytes) = left.next() else {
            if kind.repeats {
                left = kind.writes.iter();
                continue;
            }
            break;
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    std::future::pending::<()>().await;
}

/// Reads what the process answers until it closes the connection.
async fn read_to_end(mut reader: OwnedReadHalf) {
    let mut buffer = [0; 4_096];
    while matches!(reader.read(&mut buffer).await, Ok(1..)) {}
}
