//! A small deployment: the project's hosts as processes, the store and the runners as stand-ins.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;
use crate::ledger::Ledger;
use crate::runner::{Capacity, Runner};
use crate::store::Store;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/hemlockramp-platform";
/// Variable with the path of a process's settings.
const SETTINGS_VARIABLE: &str = "HEMLOCKRAMP_NODE_FILE";
/// Path prefix of the queue of priority 2.
pub const BATCH_QUEUE: &str = "/queue/";
/// Path prefix of the queue of priority 1.
pub const STANDARD_QUEUE: &str = "/replan/";
/// Ports for the hosts.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// Time that consumers wait for an answer.
const CALL_LIMIT: Duration = Duration::from_millis(3_000);
/// Tries of a consumer after a call without a final answer.
const RETRIES: usize = 4;

pub struct Host {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub hosts: Vec<Host>,
    pub ledger: Arc<Ledger>,
    folder: PathBuf,
}

/// Returns a free address. Its port is below those that the system gives to outgoing connections, so
/// that none of these takes it before the host listens there.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Cases that run side by side have neighbouring ids and take ports far apart.
    let first = (std::process::id() * 37 % u32::from(PORTS.end - PORTS.start)) as u16;
    loop {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (first + step % 1_000) % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("a bound address");
        }
    }
}

impl Cluster {
    /// Starts a deployment and waits until all its hosts are ready. Fails if they are not in time.
    pub fn start(
        folder: &Path,
        ledger: &Arc<Ledger>,
        hosts: usize,
        runners: usize,
        capacity: Capacity,
    ) -> Result<Self, String> {
        let size_ledger = Arc::clone(ledger);
        let (store, server) = Store::start(Box::new(move |line| size_ledger.write(line)));
        store.put("keyed.op", "config", &config(1));
        let runners = (0..runners)
            .map(|index| Runner::start(index, capacity, &store, ledger))
            .collect();
        let controls: Vec<SocketAddr> = (0..hosts).map(|_| free_address()).collect();
        let mut cluster = Self {
            store,
            runners,
            hosts: Vec::new(),
            ledger: Arc::clone(ledger),
            folder: folder.to_owned(),
        };
        for (index, control) in controls.iter().enumerate() {
            let [front, ready, metrics] = [(); 3].map(|()| free_address());
            let seeds: Vec<String> = controls.iter().map(|seed| format!("\"{seed}\"")).collect();
            let settings = folder.join(format!("host-{index}.json"));
            // The keys of deploy/settings.json, with the figures of salal-skipday.
            let text = format!(
                "{{\"host\":\"front-{index}\",\"failure_domain\":\"zone-{}\",\"front\":\"{front}\",\"ready\":\"{ready}\",\"peers\":\"{control}\",\"metrics\":\"{metrics}\",\"seeds\":[{}],\"store\":\"{}\",\"core_share\":0.25,\"lease_max_ms\":6000,\"far_factor\":3,\"reclaim_ms\":2900,\"stop_ms\":400,\"grace_s\":6}}",
                index % 3,
                seeds.join(","),
                server.address
            );
            std::fs::write(&settings, text).map_err(|error| error.to_string())?;
            cluster.hosts.push(Host {
                front,
                ready,
                settings,
                child: None,
            });
            cluster.start_host(index)?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !(0..hosts).all(|index| cluster.is_ready(index)) {
            if Instant::now() > until {
                return Err("the hosts are not ready in time".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        ledger.write("all hosts are ready");
        Ok(cluster)
    }

    pub fn start_host(&mut self, index: usize) -> Result<(), String> {
        let log = self.folder.join(format!("host-{index}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let host = &mut self.hosts[index];
        let child = Command::new(PROGRAM)
            .env(SETTINGS_VARIABLE, &host.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        host.child = Some(child);
        Ok(())
    }

    fn is_ready(&self, index: usize) -> bool {
        let limit = Duration::from_millis(500);
        let answer = call(
            self.hosts[index].ready,
            "GET",
            "/ready",
            &[("Host", "x")],
            "",
            limit,
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends a call of a consumer to a host and writes it and its answer to the record.
    pub fn call(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Vec<u8>)> {
        let headers = [
            ("Host", "queue.example"),
            ("Authorization", "Token key-1"),
            ("Content-Type", "application/json"),
            ("Hemlockramp-Deadline-Ms", "3000"),
        ];
        let answer = call(
            self.hosts[host].front,
            method,
            path,
            &headers,
            body,
            CALL_LIMIT,
        );
        let seen = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {}", String::from_utf8_lossy(body))
            });
        self.ledger
            .write(&format!("call {method} {path} to front-{host}: {seen}"));
        answer
    }

    /// Hands a job in as consumers do: again at another host unless it was accepted. Returns
    /// whether it was.
    pub fn submit(&self, first_host: usize, id: &str, body: &str) -> bool {
        self.submit_to(BATCH_QUEUE, first_host, id, body)
    }

    /// Hands a job in to a queue.
    pub fn submit_to(&self, queue: &str, first_host: usize, id: &str, body: &str) -> bool {
        for attempt in 0..=RETRIES {
            let host = (first_host + attempt) % self.hosts.len();
            let answer = self.call(host, "POST", &format!("{queue}{id}"), body);
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        false
    }

    /// Asks for a job's state, at up to three hosts.
    pub fn state(&self, first_host: usize, id: &str) -> String {
        for attempt in 0..3 {
            let host = (first_host + attempt) % self.hosts.len();
            if let Some((status, body)) = self.call(host, "GET", &format!("{BATCH_QUEUE}{id}"), "")
            {
                let state = Json::read(&body).get("state").text().map(str::to_owned);
                if status == 200 || status == 410 {
                    return state.unwrap_or_else(|| status.to_string());
                }
            }
        }
        "no answer".to_owned()
    }

    pub fn close(mut self) {
        for host in &mut self.hosts {
            close_host(host);
        }
    }
}

fn close_host(host: &mut Host) {
    if let Some(mut child) = host.child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            close_host(host);
        }
    }
}

/// The operator's configuration: two queues of one service, one tenant.
fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, priority: u32, slo_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"queue.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":{slo_ms},\"priority\":{priority},\"service\":\"pool\",\"maxAttempts\":3,\"stretch\":3.0,\"public\":false}}"
        )
    };
    let routes = [
        route("photo-sort", BATCH_QUEUE, 2, 3_000),
        route("route-replan", STANDARD_QUEUE, 1, 1_000),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":64,\"admissionCheck\":true}}],\"limits\":{{\"maxBodyBytes\":262144}},\"tenants\":[{{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"guaranteed\":{{\"gpu\":4}}}}]}}",
        routes.join(",")
    )
}

/// A job of one step.
pub fn job(count: u64, run_ms: u64, need: Capacity) -> String {
    let Capacity {
        cpu,
        memory_mb,
        gpu,
    } = need;
    format!(
        "{{\"spec\":\"{run_ms} {cpu} {memory_mb} {gpu}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"memMb\":{memory_mb},\"gpu\":{gpu},\"estimatedMs\":{run_ms}}}]}}"
    )
}
