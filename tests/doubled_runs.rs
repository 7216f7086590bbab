//! Runs that must not be started again while nothing proves that they are over: answers whose lists
//! are not of one moment, and addresses that belong to another life.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{FaultRates, Listing, PoolSim, step};

const SEED: u64 = 7;
/// Seeds of the random tests.
const SEEDS: std::ops::Range<u64> = 0..100;

fn pool(seed: u64, upstreams: usize) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(seed), upstreams, capacity);
    pool.take_over();
    pool
}

/// Panics with the events of the task if an invariant was violated.
fn assert_no_violations(pool: &PoolSim, what: &str) {
    if let Some(violation) = pool.violations.first() {
        let task = violation.split(' ').next().expect("a task");
        panic!("{what}: {violation}: {:#?}", pool.trace_of(task));
    }
}

/// How upstreams may read the two lists of an answer.
struct ListingCase {
    name: &'static str,
    listing: Listing,
}

const LISTINGS: [ListingCase; 5] = [
    ListingCase {
        name: "in one step",
        listing: Listing {
            gap_ms: 0,
            ended_first: false,
            hides_stopping: false,
        },
    },
    ListingCase {
        name: "running first",
        listing: Listing {
            gap_ms: 60,
            ended_first: false,
            hides_stopping: false,
        },
    },
    ListingCase {
        name: "ends first",
        listing: Listing {
            gap_ms: 60,
            ended_first: true,
            hides_stopping: false,
        },
    },
    ListingCase {
        name: "in one step, without stopping runs",
        listing: Listing {
            gap_ms: 0,
            ended_first: false,
            hides_stopping: true,
        },
    },
    ListingCase {
        name: "ends first, without stopping runs",
        listing: Listing {
            gap_ms: 60,
            ended_first: true,
            hides_stopping: true,
        },
    },
];

/// Guards against duplicate runs (issue 36): a run in neither list of an answer counted as over, though it
/// had begun, or ended, or was being stopped while the answer was written.
#[test]
fn run_that_an_answer_passes_over_is_not_started_again() {
    for case in LISTINGS {
        for seed in SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(21_000 + seed);
            let mut pool = pool(seed, 4);
            pool.listing = case.listing;
            for index in 0..20 {
                let queue = ["urgent", "plain", "batch"][random.random_range(0..3)];
                let gang = random.random_bool(0.3);
                let (count, run_ms) = (random.random_range(1..5), random.random_range(100..2_500));
                let accelerators = random.random_range(1..4);
                let steps = vec![step(count, run_ms, accelerators, gang)];
                pool.submit(&format!("j{index}"), queue, steps);
                pool.run_for(random.random_range(20..500));
            }
            pool.run_for(40_000);
            let what = format!("{}, seed {seed}", case.name);
            assert_no_violations(&pool, &what);
            assert!(pool.all_over(), "{what}: a job has not ended");
        }
    }
}

/// As `run_that_an_answer_passes_over_is_not_started_again`, with orders that are lost or late, cuts,
/// crashes and changes of the owner.
#[test]
fn answers_of_no_single_moment_cause_no_duplicate_run_under_faults() {
    for case in LISTINGS {
        for seed in SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(25_000 + seed);
            let mut pool = pool(seed, 6);
            pool.listing = case.listing;
            pool.fault_rates = FaultRates {
                response_lost: 60,
                order_delayed: 500,
            };
            for index in 0..30 {
                let queue = ["urgent", "plain", "batch"][random.random_range(0..3)];
                let gang = random.random_bool(0.5);
                let count = random.random_range(1..5);
                let steps = vec![step(count, random.random_range(200..3_000), 2, gang)];
                pool.submit(&format!("j{index}"), queue, steps);
                inject_fault(&mut pool, &mut random);
                pool.run_for(random.random_range(50..900));
            }
            pool.fault_rates = FaultRates::default();
            if pool.owner.is_none() {
                pool.take_over();
            }
            for _ in 0..120 {
                if !pool.all_over() {
                    pool.run_for(1_000);
                }
            }
            let what = format!("{}, seed {seed}", case.name);
            assert_no_violations(&pool, &what);
            assert!(pool.all_over(), "{what}: a job has not ended");
        }
    }
}

fn inject_fault(pool: &mut PoolSim, random: &mut ChaCha8Rng) {
    let index = random.random_range(0..pool.upstreams.len());
    match random.random_range(0..9) {
        0 => pool.take_over(),
        1 => pool.owner = None,
        2 if pool.owner.is_none() => pool.take_over(),
        3 => {
            pool.upstreams[index].unreachable_until_ms =
                pool.now_ms + random.random_range(500..9_000)
        }
        4 => pool.crash(index, true),
        _ => {}
    }
}

/// Cases of `life_that_is_cut_off_outlasts_a_stranger_at_its_address`.
struct StrangerCase {
    name: &'static str,
    cut_ms: u64,
    /// How often the task is started: again only if the cut outlasts the leases.
    starts: u32,
}

/// Guards against duplicate runs: a port that another process uses again answered 421, and the leases of the
/// life that had been there before, and ran on, counted as over.
#[test]
fn life_that_is_cut_off_outlasts_a_stranger_at_its_address() {
    let cases = [
        StrangerCase {
            name: "back before its leases end",
            cut_ms: 3_500,
            starts: 1,
        },
        StrangerCase {
            name: "gone for longer",
            cut_ms: 20_000,
            starts: 2,
        },
    ];
    for case in cases {
        let mut pool = pool(SEED, 2);
        pool.submit("a", "plain", vec![step(1, 6_000, 8, false)]);
        pool.run_for(500);
        let first = pool.running("a.0.0.0").expect("the task runs");
        let index = pool.upstreams.iter().position(|one| one.name == first);
        let index = index.expect("an upstream");
        pool.upstreams[index].unreachable_until_ms = pool.now_ms + case.cut_ms;
        pool.add_stranger(index);
        pool.run_for(30_000);
        assert_eq!(pool.phase("a"), JobPhase::Completed, "{}", case.name);
        assert_eq!(pool.starts("a.0.0.0"), case.starts, "{}", case.name);
        assert_no_violations(&pool, case.name);
    }
}

/// Guards against orders that go to an earlier life's address: its report, read late, replaced the
/// address of the life that runs.
#[test]
fn report_of_an_earlier_life_does_not_move_the_later_one() {
    let mut pool = pool(SEED, 1);
    let earlier = pool.report_of(0);
    pool.crash(0, true);
    pool.run_for(1_000);
    pool.move_upstream(0);
    pool.run_for(1_000);
    pool.submit("a", "plain", vec![step(1, 6_000, 8, false)]);
    pool.run_for(1_000);
    assert!(pool.running("a.0.0.0").is_some());
    pool.deliver_report(earlier);
    let later = pool.upstreams[0].clone();
    let owner = pool.owner.as_ref().expect("an owner");
    let known = &owner.upstreams()[0];
    assert_eq!(known.address, Some(later.address));
    assert_eq!(known.incarnation, later.incarnation);
    pool.run_for(8_000);
    assert_eq!(pool.starts("a.0.0.0"), 1);
    assert_no_violations(&pool, "a report of an earlier life");
}

/// Guards against work that is done twice: an upstream was cut off beyond its leases and came back with the
/// success of a run that had been given up, and the run was repeated though its unit still waited.
#[test]
fn success_that_is_read_late_is_accepted() {
    for takes_over in [false, true] {
        let mut pool = pool(SEED, 1);
        let mut second = step(1, 500, 8, false);
        second.after = vec![0];
        pool.submit("a", "plain", vec![step(1, 2_000, 8, false), second]);
        pool.run_for(1_000);
        pool.upstreams[0].unreachable_until_ms = pool.now_ms + 12_000;
        if takes_over {
            pool.run_for(2_000);
            pool.take_over();
        }
        pool.run_for(30_000);
        assert_eq!(pool.phase("a"), JobPhase::Completed);
        assert_eq!(pool.starts("a.0.0.0"), 1, "new owner: {takes_over}");
        assert_eq!(pool.starts("a.0.1.0"), 1, "new owner: {takes_over}");
        assert_no_violations(&pool, "a late success");
    }
}
