//! The project's entry hosts as separate processes, watched as the platform watches them.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::third_http::{Seen, send};
use crate::third_record::Record;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/hemlockramp-platform";
/// Memory of a machine, in MB, as on the sheets of the small deployments.
pub const MEMORY_MB: u64 = 260;
/// Delay before a process that has ended is started again.
const RESTART: Duration = Duration::from_millis(500);
/// Interval at which a process's memory is looked at.
const WATCH: Duration = Duration::from_millis(10);
/// Time that callers wait for a response.
const CALLER: Duration = Duration::from_millis(3_000);

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    /// Ends for too much memory, and other ends that nobody asked for.
    pub ends: Mutex<Vec<String>>,
    pub peak_kb: Mutex<u64>,
}

/// All hosts of the case.
static STARTED: Mutex<Vec<Arc<Host>>> = Mutex::new(Vec::new());

/// Ends all hosts of the case, whatever it is doing.
pub fn kill_hosts() {
    for host in STARTED.lock().expect("lock").iter() {
        host.kill();
    }
}

pub struct Cluster {
    pub hosts: Vec<Arc<Host>>,
    closing: Arc<AtomicBool>,
    record: Arc<Record>,
}

/// Returns an address that nothing listens at, below the ports that the system gives to clients.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() % 300) as u16 * 64;
    loop {
        let port = 12_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
}

impl Cluster {
    pub fn start(folder: &Path, count: usize, store: SocketAddr, record: &Arc<Record>) -> Self {
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let seeds: Vec<String> = peers.iter().map(|at| format!("\"{at}\"")).collect();
        let mut cluster = Self {
            hosts: Vec::new(),
            closing: Arc::default(),
            record: Arc::clone(record),
        };
        for (index, peer) in peers.iter().enumerate() {
            let [front, ready, metrics] = [(); 3].map(|()| free_address());
            let name = format!("front-zone-a-{}", index + 1);
            let text = format!(
                "{{\"host\":\"{name}\",\"failure_domain\":\"zone-a\",\"front\":\"{front}\",\
                 \"ready\":\"{ready}\",\"peers\":\"{peer}\",\"metrics\":\"{metrics}\",\
                 \"seeds\":[{}],\"store\":\"{store}\",\"core_share\":0.25,\"lease_max_ms\":6000,\
                 \"far_factor\":3,\"reclaim_ms\":2900,\"stop_ms\":400,\"status_s\":120,\
                 \"record_bytes\":262144,\"request_bytes\":2097152,\"memory_mb\":{MEMORY_MB},\
                 \"max_fds\":4100,\"grace_s\":6}}",
                seeds.join(",")
            );
            let settings = folder.join(format!("{name}.json"));
            std::fs::write(&settings, text).expect("write the settings");
            let host = Arc::new(Host {
                name,
                front,
                ready,
                settings,
                child: Mutex::default(),
                ends: Mutex::default(),
                peak_kb: Mutex::default(),
            });
            host.launch();
            STARTED.lock().expect("lock").push(Arc::clone(&host));
            let (own, closing) = (Arc::clone(&host), Arc::clone(&cluster.closing));
            let record = Arc::clone(record);
            thread::spawn(move || own.watch(&closing, &record));
            cluster.hosts.push(host);
        }
        cluster
    }

    /// Waits until all hosts are ready; returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.hosts.iter().all(|host| {
            while Instant::now() < until {
                if send(host.ready, "GET", "/ready", &[], b"", CALLER).status == 200 {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// Sends a caller's request to a host.
    pub fn call(&self, host: usize, method: &str, path: &str, key: &str, body: &str) -> Seen {
        let key = format!("Token {key}");
        let headers = [
            ("Host", "queue.example"),
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
            ("Hemlockramp-Deadline-Ms", "3000"),
        ];
        let host = &self.hosts[host % self.hosts.len()];
        let seen = send(host.front, method, path, &headers, body.as_bytes(), CALLER);
        let shown: String = match body.len() {
            0..=300 => body.to_owned(),
            bytes => format!("({bytes} bytes)"),
        };
        self.record.line(&format!(
            "caller -> {} {method} {path} {shown} -> {} {} after {} ms",
            host.name, seen.status, seen.body, seen.took_ms
        ));
        seen
    }

    /// Ends all hosts.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        for host in &self.hosts {
            host.kill();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.close();
    }
}

impl Host {
    fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("lock").take() {
            // It has ended already if this fails.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn launch(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("open the log");
        let errors = log.try_clone().expect("copy the log's handle");
        let child = Command::new(PROGRAM)
            .env("HEMLOCKRAMP_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("start a host; was the deploy file's build run?");
        *self.child.lock().expect("lock") = Some(child);
    }

    /// Kills the process if it takes more than its machine has, and starts it again after it has
    /// ended, as the platform does.
    fn watch(&self, closing: &AtomicBool, record: &Record) {
        while !closing.load(Ordering::SeqCst) {
            thread::sleep(WATCH);
            let mut slot = self.child.lock().expect("lock");
            let Some(child) = slot.as_mut() else { continue };
            let rss_kb = resident_kb(child.id());
            let mut peak = self.peak_kb.lock().expect("lock");
            *peak = rss_kb.max(*peak);
            drop(peak);
            let mut reason = None;
            if rss_kb > MEMORY_MB * 1_024 {
                let _ = child.kill();
                let _ = child.wait();
                reason = Some(format!("killed for {} MB of {MEMORY_MB}", rss_kb / 1_024));
            } else if let Ok(Some(status)) = child.try_wait() {
                reason = Some(format!("ended by itself: {status}"));
            }
            let Some(reason) = reason else { continue };
            slot.take();
            drop(slot);
            record.line(&format!("host {} {reason}", self.name));
            self.ends.lock().expect("lock").push(reason);
            thread::sleep(RESTART);
            if !closing.load(Ordering::SeqCst) {
                self.launch();
            }
        }
    }
}

/// Returns the resident memory of a process, in KB; 0 if it has ended.
fn resident_kb(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let word = line.and_then(|line| line.split_whitespace().nth(1));
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}
