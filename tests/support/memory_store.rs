//! A store in memory: keyed streams with the epochs of their writers, and listings that come late.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hemlockramp::work::clock::steady_ms;
use hemlockramp::work::model::stream::{
    KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord, WriterStamp,
};
use hemlockramp::work::ports::StorePort;

/// Interval at which a waiting read looks for new records, in ms.
const READ_POLL_MS: u64 = 10;

/// A stream with the newest append of its owners.
#[derive(Debug, Default)]
struct MemoryStream {
    records: Vec<StreamRecord>,
    epoch: u64,
    sequence: u64,
}

impl MemoryStream {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(
        &mut self,
        entries: &[KeyedValue],
        stamp: Option<&WriterStamp>,
        expected_end: Option<u64>,
    ) -> Result<StoreReply, StoreFailure> {
        let first = self.end();
        if expected_end.is_some_and(|end| end != first) {
            return Err(StoreFailure::Conflict);
        }
        if let Some(stamp) = stamp {
            if stamp.epoch < self.epoch {
                return Err(StoreFailure::Fenced);
            }
            if stamp.epoch == self.epoch && stamp.sequence != self.sequence + 1 {
                return Err(StoreFailure::Conflict);
            }
            self.epoch = stamp.epoch;
            self.sequence = stamp.sequence;
        }
        for entry in entries {
            self.records.push(StreamRecord {
                offset: self.end(),
                entry: entry.clone(),
            });
        }
        Ok(StoreReply {
            first,
            end: self.end(),
            ..StoreReply::default()
        })
    }

    fn read(&self, from: u64) -> StoreReply {
        let from = self.end().min(from) as usize;
        StoreReply {
            records: self.records[from..].to_vec(),
            end: self.end(),
            ..StoreReply::default()
        }
    }

    /// Lists the newest record of each key, sorted by key.
    fn newest(&self) -> StoreReply {
        let by_key = self
            .records
            .iter()
            .map(|record| (&record.entry.key, record));
        let newest: BTreeMap<_, _> = by_key.collect();
        StoreReply {
            records: newest.into_values().cloned().collect(),
            end: self.end(),
            ..StoreReply::default()
        }
    }
}

/// A stamped append that the store has confirmed.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmedAppend {
    pub stream: StreamName,
    pub epoch: u64,
    /// When its caller sent it, steady ms.
    pub sent_ms: u64,
}

/// Which reads of the jobs stream get no records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HeldReads {
    #[default]
    None,
    /// Those of followers, which wait for records.
    Waiting,
    All,
}

#[derive(Debug, Default)]
struct MemoryState {
    jobs: RefCell<MemoryStream>,
    runs: RefCell<MemoryStream>,
    config: RefCell<MemoryStream>,
    upstreams: RefCell<MemoryStream>,
    confirmed: RefCell<Vec<ConfirmedAppend>>,
    late_listing: Cell<Option<(StreamName, u64)>>,
    late_append: Cell<Option<(StreamName, u64)>>,
    held_reads: Cell<HeldReads>,
}

/// The store. Clones share its streams.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Rc<MemoryState>,
}

impl MemoryStore {
    fn stream(&self, name: StreamName) -> &RefCell<MemoryStream> {
        match name {
            StreamName::Jobs => &self.state.jobs,
            StreamName::Runs => &self.state.runs,
            StreamName::Config => &self.state.config,
            StreamName::Upstreams => &self.state.upstreams,
        }
    }

    /// Appends a record without a stamp, as operators and upstreams do.
    pub fn put(&self, stream: StreamName, entry: KeyedValue) {
        let appended = self
            .stream(stream)
            .borrow_mut()
            .append(&[entry], None, None);
        appended.expect("no condition that could fail");
    }

    /// Appends records as the owner of a term, who is another process.
    pub fn put_as_owner(&self, stream: StreamName, term: u64, entries: &[KeyedValue]) {
        let stamp = WriterStamp {
            writer: "owner".to_owned(),
            epoch: term,
            sequence: 0,
        };
        let mut stream = self.stream(stream).borrow_mut();
        let appended = stream.append(entries, Some(&stamp), None);
        appended.expect("a later term");
    }

    /// Lets all listings of a stream wait for this long at the store before they are read.
    pub fn delay_listings(&self, stream: StreamName, delay_ms: u64) {
        self.state.late_listing.set(Some((stream, delay_ms)));
    }

    /// Lets all stamped appends to a stream wait for this long at the store before they are applied.
    pub fn delay_appends(&self, stream: StreamName, delay_ms: u64) {
        self.state.late_append.set(Some((stream, delay_ms)));
    }

    /// Holds back the records of the jobs stream from its readers.
    pub fn hold_jobs_reads(&self, held: HeldReads) {
        self.state.held_reads.set(held);
    }

    /// Returns the highest epoch that has appended to a stream.
    pub fn epoch(&self, stream: StreamName) -> u64 {
        self.stream(stream).borrow().epoch
    }

    /// Returns when the newest confirmed append of a term was sent, steady ms.
    pub fn confirmed_ms(&self, term: u64) -> Option<u64> {
        let confirmed = self.state.confirmed.borrow();
        let of_term = confirmed.iter().filter(|append| append.epoch == term);
        of_term.map(|append| append.sent_ms).max()
    }

    /// Returns the longest time without an owner's append to the jobs stream since a time, in ms.
    pub fn longest_silence_ms(&self, since_ms: u64) -> u64 {
        let confirmed = self.state.confirmed.borrow();
        let of_jobs = confirmed
            .iter()
            .filter(|append| append.stream == StreamName::Jobs && append.sent_ms >= since_ms);
        let mut longest_ms = 0;
        let mut before_ms = since_ms;
        for sent_ms in of_jobs.map(|append| append.sent_ms).chain([steady_ms()]) {
            longest_ms = longest_ms.max(sent_ms - before_ms);
            before_ms = sent_ms;
        }
        longest_ms
    }

    fn holds_read(&self, wait_ms: u64) -> bool {
        match self.state.held_reads.get() {
            HeldReads::None => false,
            HeldReads::Waiting => wait_ms > 0,
            HeldReads::All => true,
        }
    }

    async fn read(&self, stream: StreamName, from: u64, wait_ms: u64) -> StoreReply {
        let until_ms = steady_ms() + wait_ms;
        loop {
            let reply = match stream == StreamName::Jobs && self.holds_read(wait_ms) {
                true => StoreReply {
                    end: from,
                    ..StoreReply::default()
                },
                false => self.stream(stream).borrow().read(from),
            };
            if !reply.records.is_empty() || steady_ms() >= until_ms {
                return reply;
            }
            tokio::time::sleep(Duration::from_millis(READ_POLL_MS)).await;
        }
    }
}

impl StorePort for MemoryStore {
    async fn call(&self, call: &StoreCall, _limit: Duration) -> Result<StoreReply, StoreFailure> {
        match call {
            StoreCall::Append {
                stream,
                entries,
                stamp,
                expected_end,
            } => {
                let sent_ms = steady_ms();
                if stamp.is_some() {
                    wait_if_late(self.state.late_append.get(), *stream).await;
                }
                let mut memory = self.stream(*stream).borrow_mut();
                let reply = memory.append(entries, stamp.as_ref(), *expected_end)?;
                if let Some(stamp) = stamp {
                    let epoch = stamp.epoch;
                    let append = ConfirmedAppend {
                        stream: *stream,
                        epoch,
                        sent_ms,
                    };
                    self.state.confirmed.borrow_mut().push(append);
                }
                Ok(reply)
            }
            StoreCall::Read {
                stream,
                from,
                wait_ms,
            } => Ok(self.read(*stream, *from, *wait_ms).await),
            StoreCall::Newest { stream, .. } => {
                wait_if_late(self.state.late_listing.get(), *stream).await;
                Ok(self.stream(*stream).borrow().newest())
            }
        }
    }
}

async fn wait_if_late(late: Option<(StreamName, u64)>, stream: StreamName) {
    if let Some((late, delay_ms)) = late
        && late == stream
    {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
