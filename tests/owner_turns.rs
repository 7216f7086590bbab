//! Tests of the turns of the owner's loop: what may keep its thread from heartbeats, confirmations
//! and renewals, and for how long.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::clock::steady_ms;
use hemlockramp::work::host::EntryHost;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::config::{QueueRule, WorkConfig};
use hemlockramp::work::model::evacuation::EvacuationRequest;
use hemlockramp::work::model::record::{
    AssignmentRecord, JobRecord, RunRecord, RunRow, UnitRecord, WorkRecord, encode_run_row,
};
use hemlockramp::work::model::spec::{StepSpec, WorkSpec};
use hemlockramp::work::model::stream::{KeyedValue, StreamName};
use hemlockramp::work::model::task_ref::TaskRef;
use hemlockramp::work::model::upstream::UpstreamReport;
use hemlockramp::work::owner::OwnerTiming;
use hemlockramp::work::ports::RecordReader;
use hemlockramp::work::state::context::HostIdentity;
use hemlockramp::work::store::limits::StoreLimits;
use support::crowded_pool::{CrowdedPool, EndCounter};
use support::memory_store::MemoryStore;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, yield_now};

const UPSTREAMS: usize = 1_100;
const TASKS_PER_JOB: usize = 11;
/// Answers that may be handled between two chances of the other tasks.
const HANDLED_MAX: u64 = 128;
/// Time for which each end keeps the thread, in ms: all of them together outlast the ownership.
const END_COST_MS: u64 = 2;
/// Silence of the owner after which other hosts claim the pool, in ms.
const SILENCE_MAX_MS: u64 = 1_400;
/// Time within which the pool is at work, or all ends are handled, in ms.
const SETTLED_MAX_MS: u64 = 30_000;
/// Interval at which a condition is polled, in ms.
const POLL_MS: u64 = 20;

static COUNTER: EndCounter = EndCounter::new();

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
            clock_ms: 0,
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
            lease_ms: 2_700,
            lease_max_ms: 3_000,
            ownership_timeout_ms: 1_500,
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

fn job(id: &str) -> WorkRecord {
    let step = StepSpec {
        count: TASKS_PER_JOB as u32,
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

fn upstream_name(index: usize) -> ObjectName {
    name(&format!("u{index:04}"))
}

/// The stored row of a job's tasks, each on an upstream of its own.
fn run_row(job: usize) -> RunRow {
    let unit = |index: usize| UnitRecord {
        run: 1,
        places: vec![AssignmentRecord {
            member: 0,
            upstream: upstream_name(job * TASKS_PER_JOB + index),
            incarnation: 1,
        }],
        ..UnitRecord::default()
    };
    RunRow {
        number: Some(0),
        record: RunRecord {
            units: (0..TASKS_PER_JOB).map(unit).collect(),
        },
    }
}

fn job_id(index: usize) -> String {
    format!("{index:016x}")
}

/// A store with a configuration, the upstreams, and a task that runs on each of them.
fn store_with_work() -> MemoryStore {
    let store = MemoryStore::default();
    let entry = |key: &str| KeyedValue {
        key: key.to_owned(),
        value: vec![1],
    };
    store.put(StreamName::Config, entry("config"));
    for index in 0..UPSTREAMS {
        store.put(StreamName::Upstreams, entry(upstream_name(index).as_str()));
    }
    for index in 0..UPSTREAMS / TASKS_PER_JOB {
        let id = job_id(index);
        store.put(StreamName::Jobs, KeyedValue::from(&job(&id)));
        let row = encode_run_row(&name(&id), &run_row(index));
        store.put(StreamName::Runs, row);
    }
    store
}

fn crowded_pool() -> CrowdedPool {
    let run = |index: usize| {
        let id = job_id(index / TASKS_PER_JOB);
        let task = format!("{id}.0.0.{}", index % TASKS_PER_JOB);
        let task = TaskRef::try_from(task.as_str()).expect("a task");
        (upstream_name(index), task)
    };
    CrowdedPool::new((0..UPSTREAMS).map(run))
}

async fn start_host(store: &MemoryStore, pool: &CrowdedPool) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (store, pool) = (store.clone(), pool.clone());
    EntryHost::start(identity(), store, pool, FixedReader, listener, address, &[]);
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let until_ms = steady_ms() + SETTLED_MAX_MS;
    while !condition() {
        assert!(steady_ms() < until_ms, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// Notes the most ends that were handled between two of its turns. It runs whenever another task
/// could write a heartbeat.
async fn watch_ends(most: Rc<Cell<u64>>) {
    let mut before = COUNTER.ends();
    loop {
        yield_now().await;
        let ends = COUNTER.ends();
        most.set(most.get().max(ends - before));
        before = ends;
    }
}

/// Guards against an owner that is taken for dead: when the runs of 1,100 upstreams ended at once, all
/// their ends were handled before a heartbeat or its confirmation had a chance.
#[test]
fn heartbeats_and_leases_go_on_while_all_runs_end_at_once() {
    log::set_logger(&COUNTER).expect("no other logger");
    log::set_max_level(log::LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    LocalSet::new().block_on(&runtime, async {
        let store = store_with_work();
        let pool = crowded_pool();
        start_host(&store, &pool).await;
        wait_for("all leases are held", || pool.leased() == UPSTREAMS).await;
        // The second renewals wait at the upstreams.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let term = store.epoch(StreamName::Jobs);
        COUNTER.set_cost(END_COST_MS);
        let most = Rc::<Cell<u64>>::default();
        tokio::task::spawn_local(watch_ends(Rc::clone(&most)));
        let began_ms = steady_ms();
        pool.end_all();
        wait_for("all ends are handled", || {
            COUNTER.ends() >= UPSTREAMS as u64
        })
        .await;
        tokio::time::sleep(Duration::from_millis(SILENCE_MAX_MS)).await;
        let silence_ms = store.longest_silence_ms(began_ms);
        let most = most.get();
        assert!(most <= HANDLED_MAX, "{most} ends before a chance to write");
        assert!(silence_ms < SILENCE_MAX_MS, "silent for {silence_ms} ms");
        assert_eq!(store.epoch(StreamName::Jobs), term, "the term has ended");
        wait_for("all ends are acknowledged", || {
            pool.acknowledged() == UPSTREAMS
        })
        .await;
        assert_eq!(pool.lapsed(), 0, "leases have lapsed");
        assert_eq!(pool.starts(), 0, "tasks were started again");
        assert_eq!(COUNTER.ends(), UPSTREAMS as u64, "ends handled");
    });
}
