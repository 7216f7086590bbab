//! Tests of hosts that claim the pool, over a store in memory.

mod support;

use std::time::Duration;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::host::EntryHost;
use hemlockramp::work::model::config::WorkConfig;
use hemlockramp::work::model::evacuation::EvacuationRequest;
use hemlockramp::work::model::stream::{KeyedValue, StreamName};
use hemlockramp::work::model::upstream::UpstreamReport;
use hemlockramp::work::owner::OwnerTiming;
use hemlockramp::work::ports::RecordReader;
use hemlockramp::work::state::context::HostIdentity;
use hemlockramp::work::store::limits::StoreLimits;
use support::memory_store::MemoryStore;
use support::order_log::OrderLog;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time that a new owner takes to read what it starts from, in ms.
const LISTING_MS: u64 = 2_500;
/// Time that a listing takes which does not end while hosts are observed, in ms.
const ENDLESS_MS: u64 = 60_000;
/// Time for which the hosts are observed, in ms. It leaves time for two more claims.
const OBSERVED_MS: u64 = 6_500;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

/// Reads any configuration as the same one, and no upstreams.
#[derive(Clone)]
struct FixedReader;

impl RecordReader for FixedReader {
    fn config(&self, _entry: &KeyedValue) -> Option<WorkConfig> {
        Some(WorkConfig {
            version: 1,
            pools: vec![name("pool")],
            ..WorkConfig::default()
        })
    }

    fn evacuation(&self, _entry: &KeyedValue) -> Option<EvacuationRequest> {
        None
    }

    fn upstream(&self, _entry: &KeyedValue) -> Option<UpstreamReport> {
        None
    }
}

fn identity(host: &str, rank: f64) -> HostIdentity {
    HostIdentity {
        name: name(host),
        rank,
        large: true,
        timing: OwnerTiming {
            lease_ms: 2_700,
            lease_max_ms: 3_000,
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
    }
}

async fn start_host(store: &MemoryStore, host: &str, rank: f64) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let orders = OrderLog::new(store.clone());
    let identity = identity(host, rank);
    EntryHost::start(
        identity,
        store.clone(),
        orders,
        FixedReader,
        listener,
        address,
        &[],
    );
}

/// Returns a store with a configuration, in which listings of runs take a time.
fn store_with_slow_listings(delay_ms: u64) -> MemoryStore {
    let store = MemoryStore::default();
    let value = vec![1];
    let key = "config".to_owned();
    store.put(StreamName::Config, KeyedValue { key, value });
    store.delay_listings(StreamName::Runs, delay_ms);
    store
}

/// Starts three hosts and returns the first term.
async fn start_hosts(store: &MemoryStore) -> u64 {
    for (host, rank) in [("a", 0.0), ("b", 0.3), ("c", 0.35)] {
        start_host(store, host, rank).await;
    }
    while store.epoch(StreamName::Jobs) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    store.epoch(StreamName::Jobs)
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against owners that replace each other without end: a new owner wrote no heartbeat until it
/// had read all rows, and the next host claimed the pool before it had.
#[test]
fn new_owner_that_reads_long_is_not_replaced_meanwhile() {
    run_local(async {
        let store = store_with_slow_listings(LISTING_MS);
        let first = start_hosts(&store).await;
        tokio::time::sleep(Duration::from_millis(OBSERVED_MS)).await;
        let last = store.epoch(StreamName::Jobs);
        assert_eq!(last, first, "another host claimed the pool");
    });
}

/// Guards against a pool that nobody serves: a host whose claim never ended wrote heartbeats for ever.
#[test]
fn new_owner_that_never_ends_its_claim_is_replaced() {
    run_local(async {
        let store = store_with_slow_listings(ENDLESS_MS);
        let first = start_hosts(&store).await;
        tokio::time::sleep(Duration::from_millis(OBSERVED_MS)).await;
        let last = store.epoch(StreamName::Jobs);
        assert_ne!(last, first, "no other host claimed the pool");
    });
}
