//! Upstreams that begin a later life under their name: what it takes over, and what it proves.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{FaultRates, Listing, PoolSim, step};

const SEED: u64 = 7;
/// Time between two reports of an upstream, in ms.
const REPORT_INTERVAL_MS: u64 = 500;
/// Time of a simulation step, in ms.
const STEP_MS: u64 = 10;

fn pool(upstreams: usize) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let random = ChaCha8Rng::seed_from_u64(SEED);
    let mut pool = PoolSim::new(random, upstreams, capacity);
    pool.take_over();
    pool
}

/// Runs until an upstream has just reported.
fn run_to_report(pool: &mut PoolSim) {
    while !pool.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
        pool.step();
    }
}

fn run_until_started(pool: &mut PoolSim, task: &str) {
    for _ in 0..100 {
        if pool.running(task).is_some() {
            return;
        }
        pool.step();
    }
    panic!("{task} does not start");
}

/// Guards against duplicate runs: an order for an earlier life was carried out by the later one, the run
/// ended while the later life's first answer was written, and the later life counted as proof at once.
#[test]
fn run_that_ends_while_a_later_life_answers_is_not_started_again() {
    let mut violations = Vec::new();
    let lengths_ms = (20..400).step_by(STEP_MS as usize);
    for run_ms in lengths_ms {
        let mut pool = pool(1);
        pool.listing = Listing {
            gap_ms: 60,
            ended_first: true,
            hides_stopping: false,
        };
        pool.run_for(1_000);
        run_to_report(&mut pool);
        // The owner reads of the later life with the next report.
        pool.crash(0, true);
        pool.submit("a", "plain", vec![step(1, run_ms, 8, false)]);
        pool.run_for(10_000);
        assert_eq!(pool.phase("a"), JobPhase::Completed, "{run_ms} ms");
        // The simulation finds no fault with a start between an end and its acknowledgement.
        if pool.starts("a.0.0.0") != 1 {
            violations.push(format!("{run_ms} ms: {:#?}", pool.trace_of("a.0.0.0")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against duplicate runs: a life that the owner does not know of takes an order's lease end, set
/// on the clock of the life before, for the longest lease, and is cut off before it is known.
#[test]
fn longest_lease_of_an_unknown_later_life_is_waited_for() {
    let mut pool = pool(2);
    pool.run_for(5_000);
    run_to_report(&mut pool);
    pool.crash(0, true);
    pool.crash(1, true);
    pool.fault_rates = FaultRates {
        response_lost: 1_000,
        order_delayed: 0,
    };
    pool.submit("a", "plain", vec![step(1, 60_000, 8, false)]);
    run_until_started(&mut pool, "a.0.0.0");
    let first = pool.running("a.0.0.0").expect("the task runs");
    let index = pool.upstreams.iter().position(|one| one.name == first);
    pool.upstreams[index.expect("an upstream")].unreachable_until_ms = pool.now_ms + 20_000;
    pool.fault_rates = FaultRates::default();
    pool.run_for(15_000);
    let trace = pool.trace_of("a.0.0.0");
    assert!(
        pool.violations.is_empty(),
        "{:?}: {trace:#?}",
        pool.violations
    );
}

/// Guards against work that never ends: an upstream's wall clock stepped back between two of its lives,
/// so that the later one was born earlier, and all that it said was ignored.
#[test]
fn work_of_an_upstream_whose_later_life_was_born_earlier_is_started_again() {
    let mut pool = pool(2);
    pool.upstreams[0].incarnation = 10_000;
    pool.upstreams[1].incarnation = 10_000;
    pool.run_for(1_000);
    pool.submit("a", "plain", vec![step(1, 3_000, 8, false)]);
    pool.run_for(1_000);
    let first = pool.running("a.0.0.0").expect("the task runs");
    let index = pool.upstreams.iter().position(|one| one.name == first);
    let index = index.expect("an upstream");
    pool.crash(index, true);
    pool.upstreams[index].incarnation = 8_000;
    pool.run_for(60_000);
    let trace = pool.trace_of("a.0.0.0");
    assert_eq!(pool.phase("a"), JobPhase::Completed, "{trace:#?}");
}

/// Guards against an owner that gives the pool up for a token of its own: an order with the token for an
/// upstream's earlier life arrives after a renewal with the one for its later life.
#[test]
fn own_newer_token_for_a_later_life_does_not_end_the_term() {
    let mut superseded = Vec::new();
    for lead_ms in (0..100).step_by(STEP_MS as usize) {
        let mut pool = pool(1);
        pool.run_for(1_000);
        run_to_report(&mut pool);
        pool.run_for(REPORT_INTERVAL_MS - 100);
        pool.crash(0, true);
        pool.run_for(100 - lead_ms);
        pool.submit("a", "plain", vec![step(1, 1_000, 8, false)]);
        for _ in 0..300 {
            pool.step();
            let owner = pool.owner.as_ref().expect("an owner");
            if owner.is_superseded() {
                superseded.push(format!("submitted {lead_ms} ms before the report"));
                break;
            }
        }
    }
    assert!(superseded.is_empty(), "{superseded:#?}");
}
