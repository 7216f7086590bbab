//! A small HTTP/1.1 server and client over blocking sockets, with one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a server looks for new connections and for its switch, in ms.
const ACCEPT_POLL_MS: u64 = 2;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    pub fn count(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Status and body; `None` for no response at all.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Whether a server's process is there. While it is off, its port is closed and its connections are
/// reset, as after a crash.
#[derive(Default)]
pub struct Power {
    off: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Power {
    pub fn is_off(&self) -> bool {
        self.off.load(Ordering::SeqCst)
    }

    pub fn set_off(&self, off: bool) {
        self.off.store(off, Ordering::SeqCst);
        if off {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Serves requests in threads of its own. Returns the address.
pub fn serve(
    power: Arc<Power>,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let mut listener = Some(listen("127.0.0.1:0".parse().unwrap()));
    let address = listener.as_ref().unwrap().local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        loop {
            if power.is_off() {
                listener = None;
                thread::sleep(Duration::from_millis(ACCEPT_POLL_MS));
                continue;
            }
            let open = listener.get_or_insert_with(|| listen(address));
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let mut all = power.open.lock().unwrap();
                    all.push(stream.try_clone().expect("a second handle of a socket"));
                    let handler = Arc::clone(&handler);
                    thread::spawn(move || serve_connection(stream, &*handler));
                }
                Err(_) => thread::sleep(Duration::from_millis(ACCEPT_POLL_MS)),
            }
        }
    });
    address
}

fn listen(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).expect("a free port");
    listener.set_nonblocking(true).expect("a listener");
    listener
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Some((status, body)) = handler(request) else {
            // No response: the connection stays open and silent until its peer closes it.
            let _ = input.read_to_end(&mut Vec::new());
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let message = [head.as_bytes(), &body].concat();
        if out.write_all(&message).is_err() {
            return;
        }
    }
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(input)?;
    let mut words = first.split(' ');
    words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .unwrap_or("0")
        .parse()
        .ok()?;
    request.body = vec![0; length];
    input.read_exact(&mut request.body).ok()?;
    Some(request)
}

type Head = (String, Vec<(String, String)>);

fn read_head(input: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Sends one request on a connection of its own. Returns the status and body, or `None` for no
/// complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Answer {
    Connection::open(address, limit)?.call(method, path, headers, body)
}

/// A client's connection, which can be used for several requests.
pub struct Connection {
    out: TcpStream,
    input: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> Option<Self> {
        let out = TcpStream::connect_timeout(&address, limit).ok()?;
        out.set_read_timeout(Some(limit)).ok()?;
        let _ = out.set_nodelay(true);
        let input = BufReader::new(out.try_clone().ok()?);
        Some(Self { out, input })
    }

    /// Sends a request. The connection can't be used any more if there is no response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let mut message = format!("{method} {path} HTTP/1.1\r\n");
        for (key, value) in headers {
            message.push_str(&format!("{key}: {value}\r\n"));
        }
        message.push_str(&format!(
            "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ));
        self.out.write_all(message.as_bytes()).ok()?;
        let (first, headers) = read_head(&mut self.input)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let length = headers.iter().find(|(key, _)| key == "content-length");
        let mut body = vec![0; length.map_or(Some(0), |(_, value)| value.parse().ok())?];
        self.input.read_exact(&mut body).ok()?;
        Some((status, body))
    }
}
