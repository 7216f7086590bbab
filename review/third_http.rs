//! HTTP/1.1 on loopback for the stand-ins of the third review: a server with one thread a
//! connection, and a client.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request with its whole body.
pub struct Call {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
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

/// Status and body; `None` leaves a request without an answer and its connection open.
pub type Answer = Option<(u16, Vec<u8>)>;

/// A server that can go down, which resets its connections and refuses new ones, and come back.
pub struct Server {
    pub address: SocketAddr,
    down: AtomicBool,
    /// Open connections with their numbers.
    open: Mutex<Vec<(u64, TcpStream)>>,
}

impl Server {
    /// Starts a server on a free port.
    pub fn start(handler: impl Fn(Call) -> Answer + Send + Sync + 'static) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let server = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            down: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let (own, handler) = (Arc::clone(&server), Arc::new(handler));
        thread::spawn(move || own.accept_all(listener, handler));
        server
    }

    /// Takes the server down or brings it back at the same address.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        if down {
            for (_, stream) in self.open.lock().expect("lock").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            // Wakes the listener, which then closes.
            let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        }
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    fn accept_all(
        self: Arc<Self>,
        first: TcpListener,
        handler: Arc<impl Fn(Call) -> Answer + Send + Sync + 'static>,
    ) {
        let mut listener = Some(first);
        let mut number = 0;
        loop {
            if self.is_down() {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Some(own) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let Ok((stream, _)) = own.accept() else {
                continue;
            };
            if self.is_down() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            number += 1;
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().expect("lock").push((number, copy));
            }
            let (server, handler) = (Arc::clone(&self), Arc::clone(&handler));
            thread::spawn(move || {
                // A connection that breaks is of no interest to the server.
                let _ = serve(stream, &*handler);
                let mut open = server.open.lock().expect("lock");
                open.retain(|connection| connection.0 != number);
            });
        }
    }
}

fn serve(stream: TcpStream, handler: &(impl Fn(Call) -> Answer + ?Sized)) -> io::Result<()> {
    let mut input = Input::new(stream.try_clone()?);
    let mut output = stream;
    loop {
        let Some(call) = read_call(&mut input)? else {
            let _ = output.shutdown(Shutdown::Both);
            return Ok(());
        };
        match handler(call) {
            Some((status, body)) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                output.write_all(&bytes)?;
            }
            None => {
                // Nothing more comes on this connection.
                while input.fill()? > 0 {}
                return Ok(());
            }
        }
    }
}

struct Input {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Input {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer)?;
        self.bytes.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
                self.bytes.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.bytes.drain(..count).collect())
    }
}

fn read_headers(input: &mut Input) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = input.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, text)| text.parse().ok()).unwrap_or(0)
}

fn read_call(input: &mut Input) -> io::Result<Option<Call>> {
    let Some(line) = input.line()? else {
        return Ok(None);
    };
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(input)?;
    let body = input.exactly(content_length(&headers))?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Call {
        path: path.to_owned(),
        query: pairs
            .map(|(key, value)| {
                (
                    key.to_owned(),
                    value.replace("%3A", ":").replace("%2F", "/"),
                )
            })
            .collect(),
        headers,
        body,
    }))
}

/// What a caller saw of a request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Status; 0 for none.
    pub status: u16,
    pub body: String,
    pub took_ms: u64,
}

/// Sends one request on a connection of its own and waits up to `timeout` for the whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Seen {
    let begun = Instant::now();
    let result = exchange(address, method, path, headers, body, timeout);
    let (status, body) = result.unwrap_or((0, String::new()));
    Seen {
        status,
        body,
        took_ms: begun.elapsed().as_millis() as u64,
    }
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut input = Input::new(stream);
    let line = input.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let headers = read_headers(&mut input)?;
    let body = input.exactly(content_length(&headers))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok((status.unwrap_or(0), text))
}
