//! Tests of the follower of a stream.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hemlockramp::work::follow::{FollowReply, StreamFollower, StreamSink};
use hemlockramp::work::ports::StorePort;
use hemlockramp::work::stream::{
    KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord,
};

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
