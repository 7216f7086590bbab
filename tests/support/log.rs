//! In-memory log store with scheduled append faults.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hemlockramp::journal::client::{LogStore, ReadRange};
use hemlockramp::routing::verdict::CallFailure;
use hemlockramp::tables::name::ObjectName;
use hemlockramp::wire::log::{LogRecord, ReadResponse};
use tokio::time::Instant;

/// Effect of one append and what its caller sees of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    /// The records are stored and the caller gets the response.
    Good,
    /// The append is refused at once.
    Down,
    /// The records are stored and the response is lost.
    LostResponse,
    /// The records are not stored and no response arrives.
    LostRequest,
    /// No response arrives and the records are stored after this delay.
    Late(Duration),
}

/// Streams in memory, shared between clones.
#[derive(Clone)]
pub struct MemoryLog {
    inner: Arc<Mutex<Inner>>,
    started: Instant,
}

#[derive(Default)]
struct Inner {
    streams: Vec<(ObjectName, Stream)>,
    /// Faults of the coming appends, in reverse order.
    append_faults: Vec<AppendFault>,
    appends: usize,
    reads_down: bool,
}

#[derive(Default, Clone)]
struct Stream {
    first: u64,
    records: Vec<LogRecord>,
}

impl MemoryLog {
    pub fn new() -> Self {
        Self {
            inner: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Sets the faults of the coming appends in order; later appends succeed.
    pub fn set_append_faults(&self, mut append_faults: Vec<AppendFault>) {
        append_faults.reverse();
        self.inner.lock().expect("lock").append_faults = append_faults;
    }

    pub fn set_reads_down(&self, down: bool) {
        self.inner.lock().expect("lock").reads_down = down;
    }

    pub fn appends(&self) -> usize {
        self.inner.lock().expect("lock").appends
    }

    /// Drops all but the newest records of a stream.
    pub fn retain_newest(&self, stream: &ObjectName, keep: usize) {
        let mut inner = self.inner.lock().expect("lock");
        let stream = inner.stream(stream);
        let gone = stream.records.len().saturating_sub(keep);
        stream.records.drain(..gone);
        stream.first += gone as u64;
    }

    pub fn add(&self, stream: &ObjectName, texts: Vec<String>) -> u64 {
        let at_ms = 1_000 + self.started.elapsed().as_millis() as u64;
        let mut inner = self.inner.lock().expect("lock");
        inner.appends += 1;
        let stream = inner.stream(stream);
        let first = stream.first + stream.records.len() as u64;
        for (text, offset) in texts.into_iter().zip(first..) {
            stream.records.push(LogRecord {
                offset,
                at_ms,
                text,
            });
        }
        first
    }
}

impl Inner {
    fn stream(&mut self, name: &ObjectName) -> &mut Stream {
        let found = self.streams.iter().position(|(own, _)| own == name);
        let index = found.unwrap_or_else(|| {
            self.streams.push((name.clone(), Stream::default()));
            self.streams.len() - 1
        });
        &mut self.streams[index].1
    }
}

impl LogStore for MemoryLog {
    async fn append(&self, stream: &ObjectName, records: Vec<String>) -> Result<u64, CallFailure> {
        let fault = self.inner.lock().expect("lock").append_faults.pop();
        let lost_response = || CallFailure::may_have_run(504, "no answer");
        match fault.unwrap_or(AppendFault::Good) {
            AppendFault::Good => Ok(self.add(stream, records)),
            AppendFault::Down => Err(CallFailure::not_run(503, "down")),
            AppendFault::LostRequest => Err(lost_response()),
            AppendFault::LostResponse => {
                self.add(stream, records);
                Err(lost_response())
            }
            AppendFault::Late(delay) => {
                let (log, stream) = (self.clone(), stream.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    log.add(&stream, records);
                });
                Err(lost_response())
            }
        }
    }

    async fn read(
        &self,
        stream: &ObjectName,
        range: ReadRange,
    ) -> Result<ReadResponse, CallFailure> {
        let until = Instant::now() + Duration::from_millis(range.wait_ms);
        loop {
            {
                let mut inner = self.inner.lock().expect("lock");
                if inner.reads_down {
                    return Err(CallFailure::not_run(503, "down"));
                }
                let stream = inner.stream(stream);
                let skip = range.from.saturating_sub(stream.first) as usize;
                let records: Vec<_> = stream
                    .records
                    .iter()
                    .skip(skip)
                    .take(range.max)
                    .cloned()
                    .collect();
                if !records.is_empty() || stream.first > range.from || Instant::now() >= until {
                    return Ok(ReadResponse {
                        records,
                        first_retained: stream.first,
                        next: stream.first + stream.records.len() as u64,
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
