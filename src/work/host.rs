//! An entry host: starts, drains and closes all its tasks, independent of the platform.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Semaphore;

use crate::tables::name::ObjectName;
use crate::work::calls::job_service::JobService;
use crate::work::clock::steady_ms;
use crate::work::intake::listener::GuardedListener;
use crate::work::model::record::{HostRecord, WorkRecord};
use crate::work::model::stream::{KeyedValue, StoreCall, StoreFailure, StreamName, StreamRecord};
use crate::work::model::term_report::TermReport;
use crate::work::owner_loop::run_owner_loop;
use crate::work::peers::links::{PeerService, PeerSet, serve_peers};
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::state::context::{HostContext, HostIdentity};
use crate::work::store::follow::{FollowReply, StreamFollower, StreamSink};

/// Delay between two reads of the jobs stream on a host that does not own the pool.
const JOBS_PAUSE_MS: u64 = 200;
/// Delay between two attempts to announce this host to its peers.
const ANNOUNCE_RETRY_MS: u64 = 400;
/// Delay between two attempts to read a configuration that other hosts already have.
const CONFIG_RETRY_MS: u64 = 80;
/// Longest wait for the release of the pool during a shutdown.
const RELEASE_TIMEOUT_MS: u64 = 1_500;
/// Interval of the checks whether the pool has been released.
const RELEASE_POLL_MS: u64 = 20;

/// A running entry host. Call `close` when it is no longer needed.
pub struct EntryHost<S, O, R> {
    context: Rc<HostContext<S, O, R>>,
    address: SocketAddr,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> EntryHost<S, O, R> {
    /// Starts all tasks of the host. Must be called within a `LocalSet`.
    ///
    /// `address` is where `listener` serves peers; `seeds` are addresses of the first known peers.
    pub fn start(
        identity: HostIdentity,
        store: S,
        orders: O,
        reader: R,
        listener: impl Into<GuardedListener>,
        address: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let peers = Rc::new(PeerSet::default());
        for seed in seeds.iter().filter(|seed| **seed != address) {
            peers.add(*seed);
        }
        let context = Rc::new(HostContext::new(identity, store, orders, reader, peers));
        spawn_peers(&context, listener);
        spawn_followers(&context);
        tokio::task::spawn_local(read_missing_config(Rc::clone(&context)));
        tokio::task::spawn_local(announce(Rc::clone(&context), address));
        tokio::task::spawn_local(run_owner_loop(Rc::clone(&context)));
        Self { context, address }
    }

    /// Returns the service that answers callers' requests.
    pub fn job_service(&self) -> JobService<S, O, R> {
        JobService::new(Rc::clone(&self.context))
    }

    /// Marks the host as not ready and waits until it has released the pool, for at most
    /// `RELEASE_TIMEOUT_MS`. Calls in flight continue.
    pub async fn drain(&self) {
        self.context.draining.set(true);
        self.context.owner_wake.notify_one();
        let tries = RELEASE_TIMEOUT_MS / RELEASE_POLL_MS;
        for _ in 0..tries {
            if !self.context.is_owner() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(RELEASE_POLL_MS)).await;
        }
    }

    /// Announces that this host is gone. Call it once no caller is being served.
    pub async fn close(self) {
        let entry = host_entry(&self.context, self.address, true);
        // If this fails, peers notice the missing host by failed calls.
        let _ = self
            .context
            .call_store(&StoreCall::append_record(entry))
            .await;
    }
}

fn host_entry<S, O, R>(
    context: &HostContext<S, O, R>,
    address: SocketAddr,
    gone: bool,
) -> KeyedValue {
    let record = HostRecord {
        address,
        gone,
        large: context.identity.large,
    };
    KeyedValue::from(&WorkRecord::Host(context.identity.name.clone(), record))
}

async fn announce<S: StorePort, O: OrderPort, R: RecordReader>(
    context: Rc<HostContext<S, O, R>>,
    address: SocketAddr,
) {
    let call = StoreCall::append_record(host_entry(&context, address, false));
    while let Err(failure) = context.call_store(&call).await {
        log::debug!(
            failure:% = failure;
            "host: announcing this host to its peers failed; retrying."
        );
        tokio::time::sleep(Duration::from_millis(ANNOUNCE_RETRY_MS)).await;
    }
}

/// Reads the newest configuration whenever another host is known to act on a version that this
/// host lacks. Never returns.
async fn read_missing_config<S: StorePort, O, R: RecordReader>(context: Rc<HostContext<S, O, R>>) {
    loop {
        context.config_wake.notified().await;
        while context.active_config.is_outdated() {
            if let Err(failure) = context.refresh_config().await {
                log::debug!(
                    failure:% = failure;
                    "host: reading a newer configuration failed; retrying."
                );
                tokio::time::sleep(Duration::from_millis(CONFIG_RETRY_MS)).await;
            }
        }
    }
}

fn spawn_peers<S: StorePort, O: OrderPort, R: RecordReader>(
    context: &Rc<HostContext<S, O, R>>,
    listener: impl Into<GuardedListener>,
) {
    let service = HostService {
        context: Rc::clone(context),
    };
    tokio::task::spawn_local(serve_peers(listener.into(), Rc::new(service)));
}

/// Serves the calls of peers on this host.
struct HostService<S, O, R> {
    context: Rc<HostContext<S, O, R>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> PeerService for HostService<S, O, R> {
    type Store = S;

    fn store(&self) -> Option<S> {
        let store = &self.context.store;
        (!store.is_direct_path_down()).then(|| store.direct().clone())
    }

    fn store_places(&self) -> Option<&Semaphore> {
        Some(&self.context.peer_places)
    }

    /// The largest append that the store takes, twice over: what surrounds its records is smaller.
    fn message_max_bytes(&self) -> usize {
        self.context.identity.limits.request_bytes.saturating_mul(2)
    }

    fn term_report(&self) -> Option<TermReport> {
        self.context.term_status.report(steady_ms())
    }

    async fn record(&self, entry: KeyedValue) -> Result<(), StoreFailure> {
        self.context.group_commit.record(entry).await
    }
}

fn spawn_followers<S: StorePort, O: OrderPort, R: RecordReader>(
    context: &Rc<HostContext<S, O, R>>,
) {
    let jobs = JobSink {
        context: Rc::clone(context),
    };
    let config = ConfigSink {
        context: Rc::clone(context),
        listing: None,
    };
    let store = context.store.clone();
    tokio::task::spawn_local(StreamFollower::new(store.clone(), StreamName::Jobs, jobs).run());
    tokio::task::spawn_local(StreamFollower::new(store, StreamName::Config, config).run());
}

/// Applies the jobs stream to the host's state.
struct JobSink<S, O, R> {
    context: Rc<HostContext<S, O, R>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> StreamSink for JobSink<S, O, R> {
    fn begin_listing(&mut self) {
        self.context.jobs_view.borrow_mut().begin_listing();
    }

    fn apply(&mut self, records: &[StreamRecord]) {
        self.context.apply_jobs(records);
    }

    fn end_listing(&mut self) {
        self.context.jobs_view.borrow_mut().end_listing();
        if !self.context.jobs_listed.replace(true) {
            log::info!(
                jobs = self.context.jobs_view.borrow().jobs.len();
                "host: the first listing of the jobs stream is complete."
            );
        }
    }

    fn on_reply(&mut self, reply: FollowReply) {
        let next_jobs_offset = self.context.next_jobs_offset.get().max(reply.next);
        self.context.next_jobs_offset.set(next_jobs_offset);
        let now_ms = steady_ms();
        self.context
            .election
            .borrow_mut()
            .record_store_answer(now_ms);
    }

    fn pause_ms(&self) -> u64 {
        match self.context.is_owner() {
            true => 0,
            false => JOBS_PAUSE_MS,
        }
    }

    fn is_closed(&self) -> bool {
        false
    }
}

/// Applies the stream of configurations and evacuations to the host's state.
struct ConfigSink<S, O, R> {
    context: Rc<HostContext<S, O, R>>,
    /// Failure domains with requests in the current listing; none outside a listing.
    listing: Option<Vec<ObjectName>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> StreamSink for ConfigSink<S, O, R> {
    fn begin_listing(&mut self) {
        self.listing = Some(Vec::new());
    }

    fn apply(&mut self, records: &[StreamRecord]) {
        self.context.apply_configs(records);
        if let Some(listing) = &mut self.listing {
            listing.extend(self.context.listed_evacuations(records));
        }
    }

    fn on_reply(&mut self, reply: FollowReply) {
        // The first answer after the pages of a listing names the offset that it shows.
        if let Some(listing) = self.listing.take() {
            self.context.end_config_listing(&listing, reply.next);
        }
        if reply.at_end {
            self.context.active_config.mark_confirmed(reply.asked_ms);
        }
    }

    fn pause_ms(&self) -> u64 {
        0
    }

    fn is_closed(&self) -> bool {
        false
    }
}
