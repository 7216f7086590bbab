//! One entry host: everything that runs on it, whatever the platform.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::work::desk::CallDesk;
use crate::work::fact::{HostFact, WorkFact};
use crate::work::follow::{StreamFollower, StreamSink};
use crate::work::host_parts::{HostIdentity, HostParts, steady_ms};
use crate::work::owner_loop::run_owner_loop;
use crate::work::peers::{PeerRing, PeerService, serve_peers};
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::stream::{KeyedValue, StoreCall, StoreFailure, StreamName, StreamRecord};

/// Pause between two reads of jobs on a host that does not own the pool, in ms.
const JOBS_PAUSE_MS: u64 = 200;
/// Pause between two tries to make this host known, in ms.
const ANNOUNCE_RETRY_MS: u64 = 400;
/// Longest wait for the pool to be given up at a shutdown, in ms.
const RELEASE_LIMIT_MS: u64 = 1_500;
/// Time between two looks at whether it has been, in ms.
const RELEASE_POLL_MS: u64 = 20;

/// A running entry host. `close` it.
pub struct EntryHost<S, O, R> {
    parts: Rc<HostParts<S, O, R>>,
    address: SocketAddr,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> EntryHost<S, O, R> {
    /// Starts all tasks of the host; call within a `LocalSet`.
    pub fn start(
        identity: HostIdentity,
        store: S,
        orders: O,
        reader: R,
        listener: TcpListener,
        address: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let peers = Rc::new(PeerRing::default());
        for seed in seeds.iter().filter(|seed| **seed != address) {
            peers.add(*seed);
        }
        let parts = Rc::new(HostParts::new(identity, store, orders, reader, peers));
        spawn_peers(&parts, listener);
        spawn_followers(&parts);
        tokio::task::spawn_local(announce(Rc::clone(&parts), address));
        tokio::task::spawn_local(run_owner_loop(Rc::clone(&parts)));
        Self { parts, address }
    }

    /// Returns the callers' desk.
    pub fn desk(&self) -> CallDesk<S, O, R> {
        CallDesk::new(Rc::clone(&self.parts))
    }

    /// Says that no callers are wanted any more and gives the pool up; calls in flight go on.
    pub async fn drain(&self) {
        self.parts.draining.set(true);
        self.parts.wake.notify_one();
        let tries = RELEASE_LIMIT_MS / RELEASE_POLL_MS;
        for _ in 0..tries {
            if !self.parts.is_owner() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(RELEASE_POLL_MS)).await;
        }
    }

    /// Takes this host off the list of peers; call once no caller is served any more.
    pub async fn close(self) {
        let entry = host_entry(&self.parts, self.address, true);
        // Peers find out by themselves otherwise.
        let _ = self.parts.call_store(&StoreCall::add_fact(entry)).await;
    }
}

fn host_entry<S, O, R>(parts: &HostParts<S, O, R>, address: SocketAddr, gone: bool) -> KeyedValue {
    let fact = HostFact {
        address,
        gone,
        large: parts.identity.large,
    };
    KeyedValue::from(&WorkFact::Host(parts.identity.name.clone(), fact))
}

async fn announce<S: StorePort, O: OrderPort, R: RecordReader>(
    parts: Rc<HostParts<S, O, R>>,
    address: SocketAddr,
) {
    let call = StoreCall::add_fact(host_entry(&parts, address, false));
    while let Err(failure) = parts.call_store(&call).await {
        log::debug!(failure:% = failure; "host: not announced yet.");
        tokio::time::sleep(Duration::from_millis(ANNOUNCE_RETRY_MS)).await;
    }
}

fn spawn_peers<S: StorePort, O: OrderPort, R: RecordReader>(
    parts: &Rc<HostParts<S, O, R>>,
    listener: TcpListener,
) {
    let service = HostService {
        parts: Rc::clone(parts),
    };
    tokio::task::spawn_local(serve_peers(listener, Rc::new(service)));
}

/// What this host does for its peers.
struct HostService<S, O, R> {
    parts: Rc<HostParts<S, O, R>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> PeerService for HostService<S, O, R> {
    type Store = S;

    fn store(&self) -> Option<S> {
        let store = &self.parts.store;
        (!store.is_turned_away()).then(|| store.direct().clone())
    }

    async fn record(&self, entry: KeyedValue) -> Result<(), StoreFailure> {
        self.parts.intake.record(entry).await
    }
}

fn spawn_followers<S: StorePort, O: OrderPort, R: RecordReader>(parts: &Rc<HostParts<S, O, R>>) {
    let jobs = JobSink {
        parts: Rc::clone(parts),
    };
    let config = ConfigSink {
        parts: Rc::clone(parts),
    };
    let store = parts.store.clone();
    tokio::task::spawn_local(StreamFollower::new(store.clone(), StreamName::Jobs, jobs).run());
    tokio::task::spawn_local(StreamFollower::new(store, StreamName::Config, config).run());
}

/// Takes the stream of jobs.
struct JobSink<S, O, R> {
    parts: Rc<HostParts<S, O, R>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> StreamSink for JobSink<S, O, R> {
    fn take(&mut self, records: &[StreamRecord]) {
        self.parts.apply_jobs(records);
    }

    fn end_listing(&mut self) {
        if !self.parts.listed.replace(true) {
            log::info!(
                jobs = self.parts.table.borrow().jobs.len();
                "host: the stream of jobs is read."
            );
        }
    }

    fn answered(&mut self, _asked_ms: u64, next: u64) {
        let position = self.parts.position.get().max(next);
        self.parts.position.set(position);
        let now_ms = steady_ms();
        self.parts.election.borrow_mut().record_store_answer(now_ms);
    }

    fn pause_ms(&self) -> u64 {
        match self.parts.is_owner() {
            true => 0,
            false => JOBS_PAUSE_MS,
        }
    }

    fn is_closed(&self) -> bool {
        false
    }
}

/// Takes the operators' configuration.
struct ConfigSink<S, O, R> {
    parts: Rc<HostParts<S, O, R>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> StreamSink for ConfigSink<S, O, R> {
    fn take(&mut self, records: &[StreamRecord]) {
        self.parts.offer_configs(records);
    }

    fn answered(&mut self, asked_ms: u64, _next: u64) {
        self.parts.board.confirm(asked_ms);
    }

    fn pause_ms(&self) -> u64 {
        0
    }

    fn is_closed(&self) -> bool {
        false
    }
}
