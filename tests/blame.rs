//! Tests of who is to blame for failed runs: the work or the upstreams.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use hemlockramp::work::owner::failure_ledger::FailureLedger;
use hemlockramp::work::owner::step_failures::StepRef;
use hemlockramp::work::owner::work_counts::WorkKind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, name, step};

const SEED: u64 = 7;
/// Rows of failures that the handling of one end may read, whatever the size of the pool.
const ROWS_PER_END_MAX: u64 = 100;

fn pool(upstreams: usize) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(SEED), upstreams, capacity);
    pool.take_over();
    pool
}

/// Returns the ends that were handled and the rows of failures that were read.
fn ends_and_rows(pool: &PoolSim) -> (u64, u64) {
    let counts = pool.owner.as_ref().expect("an owner").counts();
    (counts.get(WorkKind::End), counts.get(WorkKind::BlameStep))
}

/// Returns the rows of failures read for each end, by size of the pool.
fn rows_per_end(hopeless_tasks: u32) -> [u64; 2] {
    [50, 1_100].map(|upstreams| {
        let mut pool = pool(upstreams);
        pool.hopeless_jobs.push(name("hopeless"));
        pool.submit(
            "hopeless",
            "plain",
            vec![step(hopeless_tasks, 100, 1, false)],
        );
        pool.submit("sound", "plain", vec![step(40, 900, 1, false)]);
        pool.run_for(3_000);
        assert_eq!(pool.phase("sound"), JobPhase::Completed, "{upstreams}");
        let (ends, rows) = ends_and_rows(&pool);
        assert!(
            ends >= u64::from(hopeless_tasks),
            "{upstreams}: {ends} ends"
        );
        assert!(rows > 0, "{upstreams}: no failure was read");
        rows / ends
    })
}

/// Guards against a change of a living owner: after one failed run each end of any run read the failures
/// of all upstreams, and the owner of a large pool no longer came to its heartbeats.
#[test]
fn ends_after_one_failed_run_do_not_read_the_failures_of_the_whole_pool() {
    for hopeless_tasks in [3, 300] {
        let rows = rows_per_end(hopeless_tasks);
        let is_bounded = rows.iter().all(|&rows| rows <= ROWS_PER_END_MAX);
        assert!(
            is_bounded,
            "{hopeless_tasks} tasks fail: {rows:?} rows an end"
        );
    }
}

/// Guards against evidence that never ages: rows were dropped only when a further run failed.
#[test]
fn failures_are_forgotten_without_a_further_failure() {
    let mut ledger = FailureLedger::default();
    let step = StepRef {
        job: name("hopeless"),
        step: 0,
    };
    for index in 0..100 {
        ledger.add_failure(&step, &name(&format!("u{index:03}")), 1_000);
    }
    ledger.add_failure(&step, &name("u000"), 30_000);
    let take_all = |ledger: &mut FailureLedger, now_ms: u64| {
        (0..100).for_each(|_| drop(ledger.take_changes(now_ms)));
    };
    take_all(&mut ledger, 60_000);
    assert!(ledger.score(&name("u099")) > 0.0, "forgotten too early");
    take_all(&mut ledger, 62_000);
    assert_eq!(ledger.score(&name("u099")), 0.0);
    assert!(ledger.score(&name("u000")) > 0.0, "it failed again later");
    take_all(&mut ledger, 92_000);
    assert!(ledger.is_empty());
}
