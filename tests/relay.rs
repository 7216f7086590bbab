//! Tests of store calls that go by two paths, directly and through a peer.

use std::rc::Rc;
use std::time::Duration;

use hemlockramp::work::model::stream::{
    KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName, WriterStamp,
};
use hemlockramp::work::peers::links::{PeerService, PeerSet, serve_peers};
use hemlockramp::work::peers::relay::RelayStore;
use hemlockramp::work::ports::StorePort;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// A path to the store that gives one answer to each call.
#[derive(Clone)]
struct FixedPath {
    answer: Result<StoreReply, StoreFailure>,
}

impl StorePort for FixedPath {
    async fn call(&self, _call: &StoreCall, _limit: Duration) -> Result<StoreReply, StoreFailure> {
        self.answer.clone()
    }
}

impl PeerService for FixedPath {
    type Store = Self;

    fn store(&self) -> Option<Self> {
        Some(self.clone())
    }

    async fn record(&self, _entry: KeyedValue) -> Result<(), StoreFailure> {
        Ok(())
    }
}

/// Serves a peer with its path to the store; returns the set of it alone.
async fn serve_peer(path: FixedPath) -> Rc<PeerSet> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve_peers(listener, Rc::new(path)));
    let peers = Rc::new(PeerSet::default());
    peers.add(address);
    peers
}

fn append() -> StoreCall {
    StoreCall::Append {
        stream: StreamName::Jobs,
        entries: vec![KeyedValue {
            key: "job:a".to_owned(),
            value: vec![1],
        }],
        stamp: Some(WriterStamp {
            writer: "owner".to_owned(),
            epoch: 1,
            sequence: 1,
        }),
        expected_end: None,
    }
}

fn unknown() -> StoreFailure {
    StoreFailure::Unknown("no answer".to_owned())
}

fn not_done() -> StoreFailure {
    StoreFailure::NotDone("busy".to_owned())
}

struct PathCase {
    direct: StoreFailure,
    peer: StoreFailure,
    /// What the caller is told.
    told: StoreFailure,
}

/// Guards against jobs that run although they were refused: an append got no answer by the first path
/// and was applied; by the second, a later owner had fenced its writer, and the caller was told that
/// nothing was done.
#[test]
fn append_without_an_answer_stays_uncertain() {
    let cases = [
        PathCase {
            direct: unknown(),
            peer: StoreFailure::Fenced,
            told: unknown(),
        },
        PathCase {
            direct: unknown(),
            peer: StoreFailure::Conflict,
            told: unknown(),
        },
        PathCase {
            direct: unknown(),
            peer: not_done(),
            told: unknown(),
        },
        PathCase {
            direct: not_done(),
            peer: StoreFailure::Fenced,
            told: StoreFailure::Fenced,
        },
        PathCase {
            direct: StoreFailure::Fenced,
            peer: not_done(),
            told: StoreFailure::Fenced,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    LocalSet::new().block_on(&runtime, async {
        for case in cases {
            let peers = serve_peer(FixedPath {
                answer: Err(case.peer.clone()),
            });
            let direct = FixedPath {
                answer: Err(case.direct.clone()),
            };
            let store = RelayStore::new(direct, peers.await);
            let result = store.call(&append(), Duration::from_millis(500)).await;
            let (direct, peer) = (case.direct, case.peer);
            assert_eq!(result, Err(case.told), "{direct:?}, then {peer:?}");
        }
    });
}

/// A store of which one stream fails while the others answer.
#[derive(Clone)]
struct PartialPath {
    failing: StreamName,
}

impl StorePort for PartialPath {
    async fn call(&self, call: &StoreCall, _limit: Duration) -> Result<StoreReply, StoreFailure> {
        match call.stream() == self.failing {
            true => Err(unknown()),
            false => Ok(StoreReply::default()),
        }
    }
}

fn read(stream: StreamName) -> StoreCall {
    StoreCall::Read {
        stream,
        from: 0,
        wait_ms: 0,
    }
}

/// A part of the store fails while the rest answers. Guards against callers that wait for an append
/// and end unsure: the answers of the other streams hid that theirs had been lost.
#[test]
fn outage_of_one_stream_is_not_hidden_by_the_others() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    LocalSet::new().block_on(&runtime, async {
        let failing = StreamName::Jobs;
        let store = RelayStore::new(PartialPath { failing }, Rc::default());
        let limit = Duration::from_millis(100);
        for _ in 0..10 {
            for stream in [failing, StreamName::Config] {
                let result = store.call(&read(stream), limit).await;
                assert_eq!(result.is_err(), stream == failing);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        for stream in StreamName::ALL {
            assert_eq!(
                store.is_unavailable(stream),
                stream == failing,
                "{stream:?}"
            );
        }
        assert!(!store.is_direct_path_down(), "the other streams answer");
    });
}
