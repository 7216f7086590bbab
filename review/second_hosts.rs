//! The project's entry hosts as separate processes, started with the command of the deploy file, and
//! a consumer that calls them.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::json::{Json, num, obj, text};
use crate::record::Record;

/// How long a consumer waits for a response, in ms.
const CALL_MS: u64 = 3_000;
/// Attempts of a consumer, each at the next host.
const ATTEMPTS: usize = 5;
pub const KEY: &str = "key-1";
/// Ports of the hosts.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

struct Host {
    front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Hosts {
    hosts: Vec<Host>,
    program: PathBuf,
    /// Folder of the settings.
    folder: PathBuf,
    record: Arc<Record>,
    next: usize,
}

impl Hosts {
    /// Starts hosts with settings as `deploy/settings.json` gives them for a small deployment.
    pub fn start(count: usize, program: &Path, store: SocketAddr, record: &Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let seeds: Vec<Json> = peers.iter().map(|at| text(at.to_string())).collect();
        let mut hosts = Vec::new();
        for (index, own) in peers.iter().enumerate() {
            let [front, ready, metrics] = [(); 3].map(|()| free_address());
            let at = |address: SocketAddr| text(address.to_string());
            let fields = obj(vec![
                ("host", text(format!("front-{index}"))),
                ("failure_domain", text("zone-a")),
                ("front", at(front)),
                ("ready", at(ready)),
                ("peers", at(*own)),
                ("metrics", at(metrics)),
                ("seeds", Json::Arr(seeds.clone())),
                ("store", at(store)),
                ("core_share", Json::Num(0.25)),
                ("lease_max_ms", num(6_000)),
                ("far_factor", num(3)),
                ("reclaim_ms", num(2_900)),
                ("stop_ms", num(400)),
                ("record_bytes", num(262_144)),
                ("request_bytes", num(2_097_152)),
                ("grace_s", num(6)),
            ]);
            let settings = folder.join(format!("front-{index}.json"));
            fs::write(&settings, fields.to_string()).expect("a settings file");
            let child = Some(spawn(program, &settings));
            hosts.push(Host {
                front,
                ready,
                metrics,
                settings,
                child,
            });
        }
        Self {
            hosts,
            program: program.to_owned(),
            folder,
            record: Arc::clone(record),
            next: 0,
        }
    }

    /// Waits until all hosts say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let is_ready = |host: &Host| {
            let limit = Duration::from_millis(500);
            call(host.ready, "GET", "/ready", &[], "", limit)
                .is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.hosts.iter().all(is_ready) {
                self.record.line("all hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the host that says that it owns the pool.
    pub fn owner(&self) -> Option<usize> {
        let limit = Duration::from_millis(500);
        self.hosts.iter().position(|host| {
            let shown = call(host.metrics, "GET", "/metrics", &[], "", limit);
            let text = shown.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
            text.is_some_and(|text| text.contains("hemlockramp_owner 1"))
        })
    }

    /// Returns the host that a record names.
    pub fn named_in(&self, value: &[u8]) -> Option<usize> {
        (0..self.hosts.len()).find(|host| {
            let name = format!("front-{host}");
            value
                .windows(name.len())
                .any(|part| part == name.as_bytes())
        })
    }

    /// Kills a host's process.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].child.take() {
            let _ = child.kill();
            self.record.line(format!("front-{host} is killed"));
            let _ = child.wait();
        }
    }

    pub fn restart(&mut self, host: usize) {
        let child = spawn(&self.program, &self.hosts[host].settings);
        self.hosts[host].child = Some(child);
        self.record.line(format!("front-{host} starts again"));
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.front).collect()
    }

    /// Returns the resident memory of a host's process, in MB; `None` if there is none.
    pub fn memory_mb(&self, host: usize) -> Option<u64> {
        let id = self.hosts[host].child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let row = status.lines().find(|row| row.starts_with("VmRSS:"))?;
        let kilobytes: u64 = row.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1_024)
    }

    /// Hands a job in at one host, once.
    pub fn submit_at(&self, host: usize, path: &str, body: &Json) -> bool {
        let answer = self.send(host, "POST", path, &body.to_string());
        answer.is_some_and(|(status, _)| (200..=299).contains(&status))
    }

    fn send(&self, host: usize, method: &str, path: &str, body: &str) -> Answer {
        let key = format!("Token {KEY}");
        let headers = [
            ("host", "queue.example"),
            ("authorization", key.as_str()),
            ("hemlockramp-deadline-ms", "3000"),
        ];
        let limit = Duration::from_millis(CALL_MS);
        let answer = call(self.hosts[host].front, method, path, &headers, body, limit);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            None => "no response".to_owned(),
        };
        self.record
            .line(format!("consumer {method} {path} at front-{host}: {shown}"));
        answer
    }

    /// Hands a job in at one host after the other. Returns whether it was accepted.
    pub fn submit(&mut self, path: &str, body: &Json) -> bool {
        for _ in 0..ATTEMPTS {
            self.next = (self.next + 1) % self.hosts.len();
            match self.send(self.next, "POST", path, &body.to_string()) {
                Some((200..=299, _)) => return true,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// Asks each host in turn for a job's state.
    pub fn state(&mut self, path: &str) -> String {
        self.next = (self.next + 1) % self.hosts.len();
        match self.send(self.next, "GET", path, "") {
            Some((200, body)) => Json::parse(&body).get("state").text().to_owned(),
            Some((status, _)) => status.to_string(),
            None => "no response".to_owned(),
        }
    }
}

impl Drop for Hosts {
    /// Ends all processes that were started here.
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = fs::remove_file(&host.settings);
        }
        let _ = fs::remove_dir(&self.folder);
    }
}

fn spawn(program: &Path, settings: &Path) -> Child {
    Command::new(program)
        .env("HEMLOCKRAMP_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program of the deploy file")
}

/// Returns a free address outside the range from which the kernel takes ports for outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id() * 61 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = (FIRST_PORT + offset % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A queue of the operator's config.
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub attempts: u64,
}

/// Returns the operator's config with these queues; each has the path `/NAME/`.
pub fn config(queues: &[Queue]) -> Json {
    let route = |queue: &Queue| {
        obj(vec![
            ("name", text(queue.name)),
            ("host", text("queue.example")),
            ("pathPrefix", text(format!("/{}/", queue.name))),
            ("kind", text("unsafe")),
            ("timeoutMs", num(3_000)),
            ("sloMs", num(1_000)),
            ("priority", num(queue.priority)),
            ("service", text("pool")),
            ("maxAttempts", num(queue.attempts)),
            ("stretch", num(3)),
            ("public", Json::Bool(false)),
        ])
    };
    obj(vec![
        ("version", num(1)),
        ("routes", Json::Arr(queues.iter().map(route).collect())),
        (
            "services",
            Json::Arr(vec![obj(vec![
                ("name", text("pool")),
                ("admissionCheck", Json::Bool(true)),
                ("maxConns", num(64)),
            ])]),
        ),
        ("limits", obj(vec![("maxBodyBytes", num(262_144))])),
        (
            "tenants",
            Json::Arr(vec![obj(vec![
                ("name", text("tenant-1")),
                ("apiKeys", Json::Arr(vec![text(KEY)])),
                ("guaranteed", obj(vec![("gpu", num(8))])),
            ])]),
        ),
    ])
}

/// Returns a step of equal tasks that need one accelerator each.
pub fn step(count: u64, estimated_ms: u64, after: &[u64]) -> Json {
    labelled_step(count, estimated_ms, after, "")
}

/// Returns such a step for runners with a label; for any runner if it is empty.
pub fn labelled_step(count: u64, estimated_ms: u64, after: &[u64], label: &str) -> Json {
    let mut rows = vec![
        ("count", num(count)),
        ("cpu", num(2_800)),
        ("memMb", num(8_200)),
        ("gpu", num(1)),
        ("estimatedMs", num(estimated_ms)),
    ];
    if !after.is_empty() {
        let after = after.iter().map(|&index| num(index)).collect();
        rows.push(("after", Json::Arr(after)));
    }
    if !label.is_empty() {
        rows.push(("requirements", text(label)));
    }
    obj(rows)
}
