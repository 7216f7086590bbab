//! Stand-in of the platform's metadata store: a log of keyed topics with one partition each.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request, Server};
use crate::runner::unix_ms;

/// Largest record, in bytes (`recordBytes` of the settings).
const RECORD_BYTES: usize = 262_144;
/// Largest sum of the records of one call, in bytes (`requestBytes` of the settings).
const REQUEST_BYTES: usize = 2_097_152;
/// Appends of a producer whose first answer is repeated.
const REPEATS: usize = 5;
/// Time that one append takes at a partition (`appendMs` of the settings).
const APPEND: Duration = Duration::from_millis(2);
/// Time for which a channel on which an answer was lost stays open.
const SILENCE: Duration = Duration::from_secs(8);
/// Most items of one page of the newest records.
const PAGE_ITEMS: usize = 500;

struct Producer {
    topic: String,
    name: String,
    epoch: u64,
    seq: u64,
    /// Sequence number, first offset and end of the last appends.
    recent: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    name: String,
    records: Vec<(String, Vec<u8>)>,
    /// Key, value and offset, sorted by key.
    newest: Vec<(String, Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, key: &str, value: &[u8]) {
        let offset = self.records.len() as u64;
        self.newest.retain(|(other, _, _)| other != key);
        if !value.is_empty() {
            let at = self.newest.partition_point(|row| row.0.as_str() < key);
            self.newest
                .insert(at, (key.to_owned(), value.to_vec(), offset));
        }
        self.records.push((key.to_owned(), value.to_vec()));
    }
}

#[derive(Default)]
struct State {
    topics: Vec<Topic>,
    producers: Vec<Producer>,
}

impl State {
    fn topic(&mut self, name: &str) -> &mut Topic {
        let index = match self.topics.iter().position(|topic| topic.name == name) {
            Some(index) => index,
            None => {
                self.topics.push(Topic {
                    name: name.to_owned(),
                    ..Topic::default()
                });
                self.topics.len() - 1
            }
        };
        &mut self.topics[index]
    }
}

/// Called with each append that the store turns down for its size.
type SizeLog = Box<dyn Fn(&str) + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// While set, every call is broken off and nothing is done.
    down: AtomicBool,
    /// Share of the appends, in thousandths, that get no answer and are done late.
    late_share: AtomicU64,
    random: AtomicU64,
    size_log: SizeLog,
}

impl Store {
    pub fn start(size_log: SizeLog) -> (Arc<Self>, Server) {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
            late_share: AtomicU64::new(0),
            random: AtomicU64::new(unix_ms() | 1),
            size_log,
        });
        let handler = Arc::new(StoreHandler(Arc::clone(&store)));
        (store, Server::start(handler, 4_096))
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Sets the share of the appends, in thousandths, that get no answer and are done 1 to 6 s later.
    pub fn set_late_share(&self, milli: u64) {
        self.late_share.store(milli, Ordering::SeqCst);
    }

    fn next_random(&self) -> u64 {
        let mut random = self.random.load(Ordering::SeqCst);
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        self.random.store(random, Ordering::SeqCst);
        random >> 16
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Writes a record as the operator and runners do; an empty value drops the key. Returns
    /// whether the store took it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        if self.is_down() {
            return false;
        }
        let mut state = self.state.lock().expect("the store");
        state.topic(topic).append(key, value.as_bytes());
        self.changed.notify_all();
        true
    }

    fn append(&self, request: &Request) -> Reply {
        let name = request.field("topic")?;
        let json = |status: u16, text: String| Some((status, text.into_bytes()));
        let Some(records) = split_records(&request.body) else {
            return json(400, "{}".to_owned());
        };
        let largest = records.iter().map(|(size, _, _)| *size).max().unwrap_or(0);
        if largest > RECORD_BYTES || request.body.len() > REQUEST_BYTES {
            (self.size_log)(&format!(
                "store: an append to {name} is turned down with 400: largest record {largest} bytes (recordBytes {RECORD_BYTES}), call {} bytes (requestBytes {REQUEST_BYTES})",
                request.body.len()
            ));
            return json(400, "{\"reason\":\"size\"}".to_owned());
        }
        thread::sleep(APPEND);
        let mut state = self.state.lock().expect("the store");
        let end = state.topic(name).records.len() as u64;
        let new_end = end + records.len() as u64;
        if let Some(producer) = request.field("producer") {
            let (epoch, seq) = (request.number("epoch")?, request.number("seq")?);
            let known = state
                .producers
                .iter_mut()
                .find(|one| one.topic == name && one.name == producer);
            if let Some(known) = &known {
                if epoch < known.epoch {
                    return json(409, "{\"reason\":\"fenced\"}".to_owned());
                }
                if epoch == known.epoch {
                    if let Some((_, first, end)) = known.recent.iter().find(|row| row.0 == seq) {
                        return json(200, format!("{{\"offset\":{first},\"end\":{end}}}"));
                    }
                    if seq != known.seq + 1 {
                        let next = known.seq + 1;
                        return json(409, format!("{{\"reason\":\"seq\",\"seq\":{next}}}"));
                    }
                }
            }
            if request.number("at").is_some_and(|at| at != end) {
                return json(412, format!("{{\"end\":{end}}}"));
            }
            match known {
                Some(known) => {
                    if known.epoch != epoch {
                        known.recent.clear();
                    }
                    (known.epoch, known.seq) = (epoch, seq);
                    known.recent.push((seq, end, new_end));
                    if known.recent.len() > REPEATS {
                        known.recent.remove(0);
                    }
                }
                None => state.producers.push(Producer {
                    topic: name.to_owned(),
                    name: producer.to_owned(),
                    epoch,
                    seq,
                    recent: vec![(seq, end, new_end)],
                }),
            }
        } else if request.number("at").is_some_and(|at| at != end) {
            return json(412, format!("{{\"end\":{end}}}"));
        }
        let topic = state.topic(name);
        for (_, key, value) in &records {
            topic.append(key, value);
        }
        self.changed.notify_all();
        json(200, format!("{{\"offset\":{end},\"end\":{new_end}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let name = request.field("topic")?;
        let from = request.number("from")?;
        let max_bytes = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("the store");
        loop {
            if self.is_down() {
                return None;
            }
            let topic = state.topic(name);
            let end = topic.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = Vec::new();
                body.extend(end.to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from as usize) {
                    if body.len() > 16 && body.len() + key.len() + value.len() + 5 > max_bytes {
                        break;
                    }
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some((200, body));
            }
            let pause = left.min(Duration::from_millis(50));
            state = self
                .changed
                .wait_timeout(state, pause)
                .expect("the store")
                .0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let after = request.field("after");
        let mut state = self.state.lock().expect("the store");
        let topic = state.topic(request.field("topic")?);
        let rows: Vec<_> = topic
            .newest
            .iter()
            .filter(|row| after.is_none_or(|after| row.0.as_str() > after))
            .collect();
        let more = rows.len() > PAGE_ITEMS;
        let items: Vec<String> = rows
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, value, offset)| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), topic.records.len());
        let body = format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}");
        Some((200, body.into_bytes()))
    }
}

struct StoreHandler(Arc<Store>);

impl Handler for StoreHandler {
    fn handle(&self, request: Request) -> Reply {
        let store = &self.0;
        if store.is_down() {
            return None;
        }
        let is_append = request.path == "/log-append";
        if is_append && store.next_random() % 1_000 < store.late_share.load(Ordering::SeqCst) {
            let delay = Duration::from_millis(1_000 + store.next_random() % 5_000);
            let store = Arc::clone(store);
            thread::spawn(move || {
                thread::sleep(delay);
                store.append(&request);
            });
            // The channel returns nothing further.
            thread::sleep(SILENCE);
            return None;
        }
        let reply = match request.path.as_str() {
            "/log-append" => store.append(&request),
            "/log-read" => store.read(&request),
            "/log-newest" => store.newest(&request),
            _ => Some((404, Vec::new())),
        };
        match store.is_down() {
            true => None,
            false => reply,
        }
    }
}

/// Splits a body into size, key and value of each record.
fn split_records(mut body: &[u8]) -> Option<Vec<(usize, String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        let (&key_length, content) = record.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(key_length))?;
        records.push((
            length,
            String::from_utf8_lossy(key).into_owned(),
            value.to_vec(),
        ));
        body = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |sum, &byte| sum << 8 | u32::from(byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
