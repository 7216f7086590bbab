//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Power, Request, serve};
use crate::json::{Json, num, obj, text};

/// Time that an answer takes, in ms.
const ANSWER_MS: u64 = 4;
/// Largest number and size of the records of a page of `/log-newest`.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Topic {
    name: String,
    records: Vec<(String, Vec<u8>)>,
    /// Newest record of each key, with its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

struct Producer {
    topic: String,
    name: String,
    epoch: u64,
    seq: u64,
    /// Answers to the last appends, with their numbers.
    answers: Vec<(u64, String)>,
}

#[derive(Default)]
struct State {
    /// Values of the records that were appended under a condition.
    conditional: Vec<Vec<u8>>,
    topics: Vec<Topic>,
    producers: Vec<Producer>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let own = Arc::clone(&store);
        let address = serve(Arc::<Power>::default(), move |request| own.handle(&request));
        (store, address)
    }

    /// Writes a record as the operator and runners do; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Json>) {
        let value = value.map_or_else(Vec::new, |value| value.to_string().into_bytes());
        topic_mut(&mut self.state.lock().unwrap(), topic).append(key.to_owned(), value);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        let topic = request.field("topic")?.to_owned();
        let answer = match request.path.as_str() {
            "/log-append" => self.append(&topic, request),
            "/log-read" => self.read(&topic, request),
            "/log-newest" => self.newest(&topic, request),
            _ => (404, Vec::new()),
        };
        thread::sleep(Duration::from_millis(ANSWER_MS));
        Some(answer)
    }

    /// Returns the number of records that were appended under a condition.
    pub fn conditional_count(&self) -> usize {
        self.state.lock().unwrap().conditional.len()
    }

    /// Waits for the next record under a condition after the first `known` ones.
    pub fn wait_for_conditional(&self, known: usize, limit: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + limit;
        let mut state = self.state.lock().unwrap();
        loop {
            if let Some(value) = state.conditional.get(known) {
                return Some(value.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Waits until a topic has a key that begins like this. Returns whether it has.
    pub fn wait_for_key(&self, topic: &str, prefix: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut state = self.state.lock().unwrap();
        loop {
            let rows = &topic_mut(&mut state, topic).newest;
            let first = rows.range(prefix.to_owned()..).next();
            if first.is_some_and(|(key, _)| key.starts_with(prefix)) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let end = topic_mut(&mut state, topic).end();
        let stamp = (
            request.field("producer"),
            request.count("epoch").unwrap_or(0),
            request.count("seq").unwrap_or(0),
        );
        if let (Some(name), epoch, seq) = stamp {
            let own = |one: &&Producer| one.topic == topic && one.name == name;
            if let Some(own) = state.producers.iter().find(own) {
                if epoch < own.epoch {
                    return refusal(409, "fenced");
                }
                if epoch == own.epoch {
                    if let Some((_, answer)) = own.answers.iter().find(|(old, _)| *old == seq) {
                        return (200, answer.clone().into_bytes());
                    }
                    if seq != own.seq + 1 {
                        return refusal(409, "seq");
                    }
                }
            }
        }
        if request.count("at").is_some_and(|at| at != end) {
            let body = obj(vec![("end", num(end))]);
            return (412, body.to_string().into_bytes());
        }
        let records = split_records(&request.body);
        let after = end + records.len() as u64;
        let answer = obj(vec![("offset", num(end)), ("end", num(after))]).to_string();
        if let (Some(name), epoch, seq) = stamp {
            remember(&mut state, topic, name, epoch, seq, &answer);
        }
        if request.field("at").is_some() {
            let values = records.iter().map(|(_, value)| value.clone());
            state.conditional.extend(values);
        }
        let target = topic_mut(&mut state, topic);
        for (key, value) in records {
            target.append(key, value);
        }
        self.changed.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let from = request.count("from").unwrap_or(0);
        let wait = Duration::from_millis(request.count("waitMs").unwrap_or(0));
        let max_bytes = request.count("maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let target = topic_mut(&mut state, topic);
            let left = until.saturating_duration_since(Instant::now());
            if target.end() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&target.end().to_be_bytes());
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in target.records.iter().skip(from as usize) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                    if body.len() >= max_bytes {
                        break;
                    }
                }
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let target = topic_mut(&mut state, topic);
        let after = request.field("after").map(decode_percent);
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (key, (value, offset)) in target.newest.range((from, Bound::Unbounded)) {
            bytes += key.len() + value.len();
            if items.len() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            items.push(obj(vec![
                ("key", text(key.clone())),
                ("value", text(base64(value))),
                ("offset", num(*offset)),
            ]));
        }
        let body = obj(vec![
            ("items", Json::Arr(items)),
            ("more", Json::Bool(more)),
            ("end", num(target.end())),
        ]);
        (200, body.to_string().into_bytes())
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, key: String, value: Vec<u8>) {
        let offset = self.end();
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key.clone(), (value.clone(), offset)),
        };
        self.records.push((key, value));
    }
}

fn topic_mut<'a>(state: &'a mut State, name: &str) -> &'a mut Topic {
    let index = match state.topics.iter().position(|topic| topic.name == name) {
        Some(index) => index,
        None => {
            state.topics.push(Topic {
                name: name.to_owned(),
                ..Topic::default()
            });
            state.topics.len() - 1
        }
    };
    &mut state.topics[index]
}

fn remember(state: &mut State, topic: &str, name: &str, epoch: u64, seq: u64, answer: &str) {
    let own = state
        .producers
        .iter()
        .position(|one| one.topic == topic && one.name == name);
    let index = own.unwrap_or_else(|| {
        state.producers.push(Producer {
            topic: topic.to_owned(),
            name: name.to_owned(),
            epoch,
            seq,
            answers: Vec::new(),
        });
        state.producers.len() - 1
    });
    let own = &mut state.producers[index];
    if own.epoch != epoch {
        own.answers.clear();
    }
    (own.epoch, own.seq) = (epoch, seq);
    own.answers.push((seq, answer.to_owned()));
    if own.answers.len() > 5 {
        own.answers.remove(0);
    }
}

fn refusal(status: u16, reason: &str) -> (u16, Vec<u8>) {
    let body = obj(vec![("reason", text(reason))]);
    (status, body.to_string().into_bytes())
}

fn split_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while body.len() > 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let record = &body[4..4 + length];
        let key_end = 1 + record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        records.push((key, record[key_end..].to_vec()));
        body = &body[4 + length..];
    }
    records
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let code = std::str::from_utf8(tail.get(..2).unwrap_or_default());
        match code.ok().and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(code) if byte == b'%' => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, at| {
            word << 8 | u32::from(chunk.get(at).copied().unwrap_or(0))
        });
        for at in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    out
}
