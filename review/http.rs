//! HTTP/1.1 on loopback: a server for the stand-ins and a client for the consumer.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a listener is polled.
const ACCEPT_POLL: Duration = Duration::from_millis(2);

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Status and body; `None` closes the connection without an answer.
pub type Reply = Option<(u16, Vec<u8>)>;

pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: Request) -> Reply;
}

/// A server whose listener can be closed and opened again at the same address.
pub struct Server {
    pub address: SocketAddr,
    listens: Arc<AtomicBool>,
    /// Raised by each close; connections of an earlier generation get no more answers.
    generation: Arc<AtomicUsize>,
    /// Connections that were accepted since the last close.
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server that takes at most `connections` at once; others wait in the backlog.
    pub fn start(handler: Arc<dyn Handler>, connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
        let address = listener.local_addr().expect("a bound address");
        let listens = Arc::new(AtomicBool::new(true));
        let generation = Arc::new(AtomicUsize::new(0));
        let (own_listens, own_generation) = (Arc::clone(&listens), Arc::clone(&generation));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let own_streams = Arc::clone(&streams);
        thread::spawn(move || {
            let mut listener = Some(listener);
            let open = Arc::new(AtomicUsize::new(0));
            loop {
                if !own_listens.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(ACCEPT_POLL);
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let Some(current) = &listener else {
                    thread::sleep(ACCEPT_POLL);
                    continue;
                };
                current
                    .set_nonblocking(true)
                    .expect("a non-blocking listener");
                let stream = match open.load(Ordering::SeqCst) < connections {
                    true => current.accept().ok(),
                    false => None,
                };
                let Some((stream, _)) = stream else {
                    thread::sleep(ACCEPT_POLL);
                    continue;
                };
                open.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    own_streams.lock().expect("the streams").push(copy);
                }
                let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
                let generation = Arc::clone(&own_generation);
                thread::spawn(move || {
                    serve_connection(stream, &*handler, &generation);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            listens,
            generation,
            streams,
        }
    }

    /// Closes the listener, so that connections are refused, and breaks all open connections.
    pub fn close(&self) {
        self.listens.store(false, Ordering::SeqCst);
        self.generation.fetch_add(1, Ordering::SeqCst);
        for stream in self.streams.lock().expect("the streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Listens again.
    pub fn open(&self) {
        self.listens.store(true, Ordering::SeqCst);
    }
}

fn serve_connection(stream: TcpStream, handler: &dyn Handler, generation: &AtomicUsize) {
    let own = generation.load(Ordering::SeqCst);
    let is_current = || generation.load(Ordering::SeqCst) == own;
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while is_current() {
        // Waits for the first byte in short steps, so that a closed server notices.
        match reader.fill_buf() {
            Ok([]) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        }
        let _ = reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_secs(2)));
        let Some(request) = read_request(&mut reader) else {
            return;
        };
        let _ = reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(50)));
        if !is_current() {
            return;
        }
        let Some((status, body)) = handler.handle(request) else {
            return;
        };
        if !is_current() {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut answer = head.into_bytes();
        answer.extend(body);
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let _method = words.next()?;
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (key.to_owned(), value.replace("%3A", ":")))
        .collect();
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, value)| value.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Calls a server on a new connection; `None` stands for no answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let left = until.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    Some((status, read_body(&mut reader, &headers)?))
}
