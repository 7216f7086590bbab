//! Tests of an owner whose process was paused, or whose store was slow: it must not act on a
//! permission that has run out meanwhile.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::host::EntryHost;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::config::{QueueRule, WorkConfig};
use hemlockramp::work::model::evacuation::EvacuationRequest;
use hemlockramp::work::model::record::{
    AssignmentRecord, JobRecord, OwnerRecord, RunRecord, RunRow, UnitRecord, WorkRecord,
    encode_run_row,
};
use hemlockramp::work::model::spec::{StepSpec, WorkSpec};
use hemlockramp::work::model::stream::{KeyedValue, StreamName};
use hemlockramp::work::model::upstream::UpstreamReport;
use hemlockramp::work::owner::OwnerTiming;
use hemlockramp::work::ports::RecordReader;
use hemlockramp::work::state::context::HostIdentity;
use hemlockramp::work::state::election::next_term;
use hemlockramp::work::store::limits::StoreLimits;
use support::memory_store::{HeldReads, MemoryStore};
use support::order_log::OrderLog;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time without a confirmed append after which an owner may send no more orders, in ms. Longer than
/// the time between two heartbeats.
const OWNERSHIP_TIMEOUT_MS: u64 = 1_500;
/// A delay that outlasts the ownership, in ms.
const LATE_MS: u64 = 2_000;
/// A delay that the ownership outlasts, in ms.
const LISTING_MS: u64 = 600;
/// Term of an owner before all that claim the pool here.
const EARLIER_TERM: u64 = 1;
/// Time for which a host is observed, in ms.
const OBSERVED_MS: u64 = 5_000;
/// Time from the host's check of its ownership to the log's note of an order, at most, in ms.
const SEND_SLACK_MS: u64 = 100;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

/// Reads any configuration as the same one, and any upstream as one of 8 accelerators.
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

    fn upstream(&self, entry: &KeyedValue) -> Option<UpstreamReport> {
        Some(UpstreamReport {
            name: name(&entry.key),
            pool: name("pool"),
            address: "127.0.0.1:9".parse().expect("an address"),
            domain: name("domain"),
            rack: None,
            labels: Vec::new(),
            capacity: ResourceAmount {
                cpu_milli: 8_000,
                memory_mb: 8_000,
                accelerators: 8,
            },
            draining: false,
            remaining_ms: None,
            clock_ms: 1_000,
            incarnation: 1,
        })
    }
}

fn identity() -> HostIdentity {
    HostIdentity {
        name: name("host"),
        rank: 0.0,
        large: true,
        timing: OwnerTiming {
            lease_ms: 5_400,
            lease_max_ms: 6_000,
            ownership_timeout_ms: OWNERSHIP_TIMEOUT_MS,
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

/// A job of one step of `count` tasks.
fn job(id: &str, count: u32) -> WorkRecord {
    let step = StepSpec {
        count,
        need: ResourceAmount {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 1,
        },
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let record = JobRecord {
        team: None,
        queue: name("queue"),
        config_version: 1,
        rule: QueueRule {
            pool: name("pool"),
            priority: 1,
            attempts_max: 4,
            stretch: 3.0,
            objective_ms: 1_000,
        },
        accepted_ms: 0,
        spec: WorkSpec {
            payload: "p".into(),
            steps: vec![step],
            repeat: None,
        },
    };
    WorkRecord::Job(name(id), Box::new(record))
}

/// The stored row of a job's tasks, each of them on one upstream.
fn run_row(id: &str, upstreams: &[&str]) -> KeyedValue {
    let unit = |upstream: &&str| UnitRecord {
        run: 1,
        places: vec![AssignmentRecord {
            member: 0,
            upstream: name(upstream),
            incarnation: 1,
        }],
        ..UnitRecord::default()
    };
    let row = RunRow {
        number: Some(0),
        record: RunRecord {
            units: upstreams.iter().map(unit).collect(),
        },
    };
    encode_run_row(&name(id), &row)
}

/// A store with a configuration, three upstreams and a job of two tasks on two of them.
fn store_with_work() -> MemoryStore {
    let store = MemoryStore::default();
    let entry = |key: &str| KeyedValue {
        key: key.to_owned(),
        value: vec![1],
    };
    store.put(StreamName::Config, entry("config"));
    store.put(StreamName::Upstreams, entry("u1"));
    store.put(StreamName::Upstreams, entry("u2"));
    store.put(StreamName::Upstreams, entry("u3"));
    store.put(StreamName::Jobs, KeyedValue::from(&job("a", 2)));
    store.put(StreamName::Runs, run_row("a", &["u1", "u2"]));
    store
}

async fn start_host(store: &MemoryStore, orders: &OrderLog) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (store, orders) = (store.clone(), orders.clone());
    EntryHost::start(
        identity(),
        store,
        orders,
        FixedReader,
        listener,
        address,
        &[],
    );
}

async fn pause(span_ms: u64) {
    tokio::time::sleep(Duration::from_millis(span_ms)).await;
}

/// Runs the test and then ends all tasks of its hosts.
fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn assert_all_in_time(orders: &OrderLog, case: &str) {
    for order in orders.sent() {
        assert!(
            order.unconfirmed_ms <= OWNERSHIP_TIMEOUT_MS + SEND_SLACK_MS,
            "{case}: {order:?}"
        );
    }
}

struct ListingCase {
    name: &'static str,
    /// The stream whose listings come late.
    late: Option<StreamName>,
    /// Whether the host gets so far as to send orders.
    acts: bool,
}

/// Guards against duplicate runs: a host that was paused while it claimed the pool counted its
/// ownership from its waking, and sent orders when a later owner no longer reckoned with any.
#[test]
fn late_claim_gives_no_fresh_ownership() {
    let cases = [
        ListingCase {
            name: "in time",
            late: None,
            acts: true,
        },
        ListingCase {
            name: "runs are listed late",
            late: Some(StreamName::Runs),
            acts: false,
        },
        ListingCase {
            name: "upstreams are listed late",
            late: Some(StreamName::Upstreams),
            acts: false,
        },
    ];
    run_local(async {
        join_all(cases.map(check_listing)).await;
    });
}

async fn check_listing(case: ListingCase) {
    let store = store_with_work();
    if let Some(stream) = case.late {
        store.delay_listings(stream, LATE_MS);
    }
    let orders = OrderLog::new(store.clone());
    start_host(&store, &orders).await;
    pause(OBSERVED_MS).await;
    assert_ne!(store.epoch(StreamName::Runs), 0, "{}: no claim", case.name);
    assert_all_in_time(&orders, case.name);
    assert_eq!(!orders.sent().is_empty(), case.acts, "{}", case.name);
}

/// Guards against duplicate runs: an order that was decided before the process was paused went out
/// after its waking, when the owner was one no longer.
#[test]
fn no_order_goes_out_after_a_pause_that_outlasts_the_ownership() {
    for pause_ms in [0, LATE_MS] {
        run_local(async move {
            let store = store_with_work();
            let orders = OrderLog::new(store.clone());
            // Both upstreams get an order in the first round; the pause is between the two.
            orders.pause_process_at_next_order(pause_ms);
            start_host(&store, &orders).await;
            pause(OBSERVED_MS - pause_ms).await;
            assert!(!orders.sent().is_empty(), "pause of {pause_ms} ms");
            assert_all_in_time(&orders, &format!("pause of {pause_ms} ms"));
        });
    }
}

struct LaterOwnerCase {
    name: &'static str,
    /// Whether another host claims the pool before this one has listed the runs.
    claimed: bool,
}

/// Guards against duplicate runs: a host that was paused while it claimed the pool took the rows of
/// the owner after it for those of the owner before it, and renewed the leases of runs that its
/// successor waited out.
#[test]
fn rows_of_a_later_owner_are_not_taken_over() {
    let cases = [
        LaterOwnerCase {
            name: "no later owner",
            claimed: false,
        },
        LaterOwnerCase {
            name: "later owner",
            claimed: true,
        },
    ];
    run_local(async {
        join_all(cases.map(check_later_owner)).await;
    });
}

async fn check_later_owner(case: LaterOwnerCase) {
    let store = store_with_work();
    store.delay_listings(StreamName::Runs, LISTING_MS);
    let orders = OrderLog::new(store.clone());
    start_host(&store, &orders).await;
    while store.epoch(StreamName::Runs) == 0 {
        pause(10).await;
    }
    if case.claimed {
        // The host has not read yet that another one owns the pool.
        store.hold_jobs_reads(HeldReads::All);
        claim_as_other_host(&store);
    }
    pause(OBSERVED_MS).await;
    let sent = orders.sent();
    assert_eq!(sent.is_empty(), case.claimed, "{}: {sent:?}", case.name);
}

/// Claims the pool under the next term and stores that the job's second task is on another upstream.
fn claim_as_other_host(store: &MemoryStore) {
    let term = next_term(store.epoch(StreamName::Runs), 0);
    let owner = WorkRecord::Owner(OwnerRecord {
        host: name("other"),
        term,
        released: false,
    });
    let fence = KeyedValue {
        key: "owner".to_owned(),
        value: term.to_be_bytes().to_vec(),
    };
    store.put_as_owner(StreamName::Jobs, term, &[KeyedValue::from(&owner)]);
    store.put_as_owner(
        StreamName::Runs,
        term,
        &[fence, run_row("a", &["u1", "u3"])],
    );
}

struct LateJobCase {
    name: &'static str,
    /// Whether the earlier owner has placed the job when it is fenced.
    placed: bool,
}

/// Guards against duplicate runs: the earlier owner placed a job that was accepted after the new one
/// had read the jobs and before it had fenced the runs. The new owner passed over its rows, then took
/// the job for one that nobody had started.
#[test]
fn job_placed_while_the_pool_was_claimed_is_not_started_again() {
    let cases = [
        LateJobCase {
            name: "not placed",
            placed: false,
        },
        LateJobCase {
            name: "placed",
            placed: true,
        },
    ];
    run_local(async {
        join_all(cases.map(check_late_job)).await;
    });
}

async fn check_late_job(case: LateJobCase) {
    let store = store_with_work();
    store.delay_appends(StreamName::Runs, LISTING_MS);
    let orders = OrderLog::new(store.clone());
    start_host(&store, &orders).await;
    while store.epoch(StreamName::Jobs) == 0 {
        pause(10).await;
    }
    // The claim has read the jobs by then, and its fence is on the way.
    pause(LISTING_MS / 2).await;
    store.delay_appends(StreamName::Runs, 0);
    store.hold_jobs_reads(HeldReads::Waiting);
    store.put(StreamName::Jobs, KeyedValue::from(&job("b", 1)));
    if case.placed {
        let row = run_row("b", &["u2"]);
        store.put_as_owner(StreamName::Runs, EARLIER_TERM, &[row]);
    }
    pause(LISTING_MS).await;
    store.hold_jobs_reads(HeldReads::None);
    pause(OBSERVED_MS / 2).await;
    let sent = orders.sent();
    let starts: Vec<_> = sent.iter().filter(|order| order.starts.is_some()).collect();
    assert_eq!(starts.is_empty(), case.placed, "{}: {starts:?}", case.name);
}
