//! Tests of the follower of a stream.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::config::WorkConfig;
use hemlockramp::work::model::evacuation::EvacuationRequest;
use hemlockramp::work::model::stream::{
    KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord,
};
use hemlockramp::work::model::upstream::UpstreamReport;
use hemlockramp::work::owner::OwnerTiming;
use hemlockramp::work::peers::links::PeerSet;
use hemlockramp::work::ports::{RecordReader, StorePort};
use hemlockramp::work::state::context::{HostContext, HostIdentity};
use hemlockramp::work::store::follow::{FollowReply, StreamFollower, StreamSink};
use hemlockramp::work::store::limits::StoreLimits;
use tokio::task::{LocalSet, yield_now};

/// A store whose answers to reads hold a limited number of records.
#[derive(Clone)]
struct LimitedStore {
    /// Offset after the last record.
    end: u64,
    /// Maximum number of records in an answer to a read.
    answer_max: u64,
}

impl StorePort for LimitedStore {
    async fn call(&self, call: &StoreCall, _limit: Duration) -> Result<StoreReply, StoreFailure> {
        let offsets = match call {
            StoreCall::Read { from, .. } => *from..self.end.min(from + self.answer_max),
            _ => 0..0,
        };
        Ok(StoreReply {
            records: offsets.map(record).collect(),
            // A listing is as old as the stream's start, so that all records are read.
            end: match call {
                StoreCall::Read { .. } => self.end,
                _ => 0,
            },
            ..StoreReply::default()
        })
    }
}

fn record(offset: u64) -> StreamRecord {
    StreamRecord {
        offset,
        entry: KeyedValue {
            key: "config".to_owned(),
            value: vec![1],
        },
    }
}

/// Counts the applied records and notes how many there were when the stream was said to be read to
/// its end.
#[derive(Clone, Default)]
struct NotingSink {
    applied: Rc<Cell<u64>>,
    ends: Rc<RefCell<Vec<u64>>>,
    closes_at: u64,
}

impl StreamSink for NotingSink {
    fn apply(&mut self, records: &[StreamRecord]) {
        self.applied.set(self.applied.get() + records.len() as u64);
    }

    fn on_reply(&mut self, reply: FollowReply) {
        if reply.at_end {
            self.ends.borrow_mut().push(self.applied.get());
        }
    }

    fn pause_ms(&self) -> u64 {
        0
    }

    fn is_closed(&self) -> bool {
        self.applied.get() >= self.closes_at
    }
}

struct ReadCase {
    name: &'static str,
    end: u64,
    answer_max: u64,
    /// Numbers of applied records at which the stream had been read to its end.
    ends: &'static [u64],
}

/// Guards against an old configuration that counts as confirmed although newer ones wait behind an
/// answer that was cut off at its maximum size.
#[test]
fn a_read_that_stops_short_of_the_end_confirms_nothing() {
    let cases = [
        ReadCase {
            name: "one answer",
            end: 3,
            answer_max: 8,
            ends: &[0, 3],
        },
        ReadCase {
            name: "three answers",
            end: 6,
            answer_max: 2,
            ends: &[0, 6],
        },
        ReadCase {
            name: "a remainder",
            end: 5,
            answer_max: 2,
            ends: &[0, 5],
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    for case in cases {
        let store = LimitedStore {
            end: case.end,
            answer_max: case.answer_max,
        };
        let sink = NotingSink {
            closes_at: case.end,
            ..NotingSink::default()
        };
        let ends = Rc::clone(&sink.ends);
        let follower = StreamFollower::new(store, StreamName::Config, sink);
        runtime.block_on(follower.run());
        assert_eq!(*ends.borrow(), case.ends, "{}", case.name);
    }
}

struct PartCase {
    name: &'static str,
    /// Number of records in an answer.
    records: u64,
    /// Most records that are applied before other tasks run.
    most: u64,
}

/// Guards against a thread that is kept by one long answer, so that heartbeats wait behind it.
#[test]
fn other_tasks_run_while_a_long_answer_is_applied() {
    let cases = [
        PartCase {
            name: "a short answer",
            records: 10,
            most: 10,
        },
        PartCase {
            name: "a long answer",
            records: 1_100,
            most: 64,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    for case in cases {
        let store = LimitedStore {
            end: case.records,
            answer_max: case.records,
        };
        let sink = NotingSink {
            closes_at: case.records,
            ..NotingSink::default()
        };
        let applied = Rc::clone(&sink.applied);
        let follower = StreamFollower::new(store, StreamName::Config, sink);
        let most = Rc::<Cell<u64>>::default();
        let noted = Rc::clone(&most);
        LocalSet::new().block_on(&runtime, async move {
            let run = tokio::task::spawn_local(follower.run());
            let mut before = 0;
            while before < case.records {
                yield_now().await;
                noted.set(noted.get().max(applied.get() - before));
                before = applied.get();
            }
            run.await.expect("a task that does not fail");
        });
        assert_eq!(most.get(), case.most, "{}", case.name);
    }
}

/// A store that lists one record a page, and answers reads with no record though its end is further.
#[derive(Clone)]
struct PagedStore {
    /// Keys of the listing, in order.
    keys: &'static [&'static str],
    end: u64,
}

impl StorePort for PagedStore {
    async fn call(&self, call: &StoreCall, _limit: Duration) -> Result<StoreReply, StoreFailure> {
        let StoreCall::Newest { after, .. } = call else {
            return Ok(StoreReply {
                end: self.end,
                ..StoreReply::default()
            });
        };
        let is_later = |key: &&&str| after.as_ref().is_none_or(|after| **key > after.as_str());
        let mut later = self.keys.iter().filter(is_later);
        let first = later.next().map(|key| StreamRecord {
            offset: 0,
            entry: KeyedValue {
                key: (*key).to_owned(),
                value: vec![1],
            },
        });
        Ok(StoreReply {
            records: first.into_iter().collect(),
            more: later.next().is_some(),
            ..StoreReply::default()
        })
    }
}

/// Reads each record with the key `config` as version 7.
#[derive(Clone)]
struct KeyReader;

impl RecordReader for KeyReader {
    fn config(&self, entry: &KeyedValue) -> Option<WorkConfig> {
        (entry.key == "config").then(|| WorkConfig {
            version: 7,
            routes: Vec::new(),
            teams: Vec::new(),
            pools: Vec::new(),
            body_max_bytes: 0,
        })
    }

    fn evacuation(&self, entry: &KeyedValue) -> Option<EvacuationRequest> {
        let domain = entry.key.strip_prefix("evacuate/")?;
        Some(EvacuationRequest {
            domain: ObjectName::try_from(domain).expect("a valid name"),
            evacuated: true,
        })
    }

    fn upstream(&self, _entry: &KeyedValue) -> Option<UpstreamReport> {
        None
    }
}

fn host_context(store: PagedStore) -> HostContext<PagedStore, (), KeyReader> {
    let identity = HostIdentity {
        name: ObjectName::try_from("host").expect("a valid name"),
        rank: 0.0,
        large: true,
        timing: OwnerTiming {
            lease_ms: 5_400,
            lease_max_ms: 6_000,
            ownership_timeout_ms: 8_000,
            far_factor: 3,
            reclaim_ms: 3_400,
            stop_ms: 900,
            checkpoint_max_bytes: 1_000,
        },
        limits: StoreLimits {
            record_bytes: 262_144,
            request_bytes: 2_097_152,
        },
        job_memory_bytes: 64_000_000,
        retention_ms: 180_000,
        store_calls_max: 64,
    };
    HostContext::new(identity, store, (), KeyReader, Rc::new(PeerSet::default()))
}

/// Keys of a listing, one a page.
struct PageCase {
    name: &'static str,
    keys: &'static [&'static str],
}

/// Guards against a page that is taken for the whole list: a configuration beyond the first page was
/// not read, and the older one in force counted as confirmed.
#[test]
fn the_configuration_is_read_from_any_page() {
    let cases = [
        PageCase {
            name: "first page",
            keys: &["config", "wave/1"],
        },
        PageCase {
            name: "second page",
            keys: &["a", "config", "wave/1"],
        },
        PageCase {
            name: "last page",
            keys: &["a", "b", "config"],
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    for case in cases {
        let context = host_context(PagedStore {
            keys: case.keys,
            end: 0,
        });
        runtime
            .block_on(context.refresh_config())
            .expect("the store answers");
        let version = context.active_config.current().map(|config| config.version);
        assert_eq!(version, Some(7), "{}", case.name);
    }
}

/// Guards against an answer without records that is taken for the end of the stream: a job that the
/// host has not read yet would be said to be unknown.
#[test]
fn an_answer_that_lacks_records_is_not_the_end_of_the_jobs() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    for (end, complete) in [(0, true), (3, false)] {
        let context = host_context(PagedStore { keys: &[], end });
        context.jobs_listed.set(true);
        let result = runtime.block_on(context.refresh_jobs());
        assert_eq!(result.is_ok(), complete, "end {end}");
    }
}
