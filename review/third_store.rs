//! Stand-in of the platform's store for the third review: keyed topics of one partition. It loses
//! nothing that it has answered and keeps its whole history.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::third_http::{Answer, Call, Server};

/// Largest number and size of the records of a page of `log-newest`.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Number of newest appends of a producer whose repeats get their first answer again.
const REPEATS: usize = 5;

#[derive(Default)]
struct Topic {
    name: String,
    records: Vec<(String, Vec<u8>)>,
    /// Offset of the newest record of each key, sorted by key.
    newest: Vec<(String, usize)>,
    producers: Vec<Producer>,
}

struct Producer {
    name: String,
    epoch: u64,
    /// Number and first offset of the newest appends.
    appends: Vec<(u64, u64)>,
}

impl Topic {
    fn append(&mut self, key: String, value: Vec<u8>) {
        let offset = self.records.len();
        match self.newest.binary_search_by(|row| row.0.cmp(&key)) {
            Ok(index) if value.is_empty() => _ = self.newest.remove(index),
            Ok(index) => self.newest[index].1 = offset,
            Err(_) if value.is_empty() => {}
            Err(index) => self.newest.insert(index, (key.clone(), offset)),
        }
        self.records.push((key, value));
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<Vec<Topic>>,
    changed: Condvar,
}

impl Store {
    /// Starts the store and returns its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let own = Arc::clone(&store);
        let server = Server::start(move |call| own.handle(&call));
        (store, server.address)
    }

    /// Appends a record as the operator and runners do; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("lock");
        topic_mut(&mut topics, topic).append(key.to_owned(), value.as_bytes().to_vec());
        self.changed.notify_all();
    }

    fn handle(&self, call: &Call) -> Answer {
        let topic = call.field("topic")?.to_owned();
        match call.path.as_str() {
            "/log-append" => self.append(&topic, call),
            "/log-read" => self.read(&topic, call),
            "/log-newest" => Some((200, self.newest(&topic, call.field("after")))),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, topic: &str, call: &Call) -> Answer {
        // The time that an append takes at the platform.
        std::thread::sleep(Duration::from_millis(2));
        let mut topics = self.topics.lock().expect("lock");
        let topic = topic_mut(&mut topics, topic);
        let end = topic.records.len() as u64;
        let mut producer = None;
        if let Some(name) = call.field("producer") {
            let (epoch, seq) = (call.number("epoch")?, call.number("seq")?);
            let found = topic.producers.iter().position(|one| one.name == name);
            if let Some(index) = found {
                let own = &topic.producers[index];
                if epoch < own.epoch {
                    return Some((409, br#"{"reason":"fenced"}"#.to_vec()));
                }
                if epoch == own.epoch {
                    if let Some((_, offset)) = own.appends.iter().find(|row| row.0 == seq) {
                        let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                        return Some((200, body.into_bytes()));
                    }
                    let next = own.appends.last().map_or(0, |row| row.0 + 1);
                    if seq != next {
                        let body = format!("{{\"reason\":\"seq\",\"seq\":{next}}}");
                        return Some((409, body.into_bytes()));
                    }
                }
            }
            producer = Some((found, name.to_owned(), epoch, seq));
        }
        if call.number("at").is_some_and(|at| at != end) {
            return Some((412, format!("{{\"end\":{end}}}").into_bytes()));
        }
        if let Some((found, name, epoch, seq)) = producer {
            let index = found.unwrap_or(topic.producers.len());
            if found.is_none() {
                topic.producers.push(Producer {
                    name,
                    epoch,
                    appends: Vec::new(),
                });
            }
            let own = &mut topic.producers[index];
            if own.epoch != epoch {
                own.epoch = epoch;
                own.appends.clear();
            }
            own.appends.push((seq, end));
            if own.appends.len() > REPEATS {
                own.appends.remove(0);
            }
        }
        for (key, value) in split_records(&call.body)? {
            topic.append(key, value);
        }
        let after = topic.records.len();
        self.changed.notify_all();
        let body = format!("{{\"offset\":{end},\"end\":{after}}}");
        Some((200, body.into_bytes()))
    }

    fn read(&self, topic: &str, call: &Call) -> Answer {
        let from = call.number("from")? as usize;
        let bytes_max = call.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(call.number("waitMs").unwrap_or(0));
        let mut topics = self.topics.lock().expect("lock");
        loop {
            let own = topic_mut(&mut topics, topic);
            let left = until.saturating_duration_since(Instant::now());
            if own.records.len() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((own.records.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for (key, value) in own.records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    if body.len() > 16 && body.len() + length > bytes_max {
                        break;
                    }
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some((200, body));
            }
            topics = self.changed.wait_timeout(topics, left).expect("lock").0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let mut topics = self.topics.lock().expect("lock");
        let topic = topic_mut(&mut topics, topic);
        let start = after.map_or(0, |after| {
            topic.newest.partition_point(|row| row.0.as_str() <= after)
        });
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, offset) in &topic.newest[start..] {
            let value = &topic.records[*offset].1;
            bytes += key.len() + value.len();
            if items.len() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = topic.records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}").into_bytes()
    }
}

fn topic_mut<'a>(topics: &'a mut Vec<Topic>, name: &str) -> &'a mut Topic {
    let index = match topics.iter().position(|topic| topic.name == name) {
        Some(index) => index,
        None => {
            topics.push(Topic {
                name: name.to_owned(),
                ..Topic::default()
            });
            topics.len() - 1
        }
    };
    &mut topics[index]
}

fn split_records(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        let record = body.get(4..4 + length)?;
        let key_length = usize::from(*record.first()?);
        let key = String::from_utf8_lossy(record.get(1..1 + key_length)?).into_owned();
        records.push((key, record[1 + key_length..].to_vec()));
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for three in bytes.chunks(3) {
        let get = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = get(0) << 16 | get(1) << 8 | get(2);
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize];
            let is_padding = index > three.len();
            text.push(if is_padding { '=' } else { char::from(letter) });
        }
    }
    text
}
