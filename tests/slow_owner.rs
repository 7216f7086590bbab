//! Random tests of a pool owner that handles answers late: over virtual time, with faults.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{FaultRates, PoolSim, step};

const SEEDS: std::ops::Range<u64> = 0..200;
const UPSTREAMS: usize = 8;
const JOBS: usize = 24;

fn pool(seed: u64) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(seed), UPSTREAMS, capacity);
    pool.take_over();
    pool
}

fn inject_fault(pool: &mut PoolSim, random: &mut ChaCha8Rng) {
    let index = random.random_range(0..pool.upstreams.len());
    match random.random_range(0..10) {
        0 => pool.take_over(),
        1 => pool.crash(index, true),
        2 => {
            let cut_ms = random.random_range(500..9_000);
            pool.upstreams[index].unreachable_until_ms = pool.now_ms + cut_ms;
        }
        3 => pool.batch_delay_ms = random.random_range(10..1_500),
        4 | 5 => pool.answers_per_step = 0,
        6 | 7 => pool.answers_per_step = 1,
        _ => pool.answers_per_step = usize::MAX,
    }
}

/// Guards against duplicate runs and lost jobs while answers wait, up to several seconds, and are put
/// off: what an answer proves must not depend on when it is handled.
#[test]
fn answers_that_wait_cause_no_duplicate_run_and_no_lost_job() {
    for seed in SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(7_000 + seed);
        let mut pool = pool(seed);
        pool.fault_rates = FaultRates {
            response_lost: 40,
            order_delayed: 500,
        };
        for index in 0..JOBS {
            let gang = random.random_bool(0.5);
            let count = random.random_range(1..8);
            let first = step(count, random.random_range(200..3_000), 2, gang);
            let mut second = step(2, 400, 1, false);
            second.after = vec![0];
            pool.submit(&format!("j{index}"), "plain", vec![first, second]);
            inject_fault(&mut pool, &mut random);
            pool.run_for(random.random_range(50..1_500));
        }
        pool.fault_rates = FaultRates::default();
        pool.batch_delay_ms = 20;
        pool.answers_per_step = usize::MAX;
        for _ in 0..120 {
            if !pool.all_over() {
                pool.run_for(1_000);
            }
        }
        if let Some(violation) = pool.violations.first() {
            let task = violation.split(' ').next().expect("a task");
            panic!("seed {seed}: {violation}: {:#?}", pool.trace_of(task));
        }
        assert!(pool.all_over(), "seed {seed}: a job has not ended");
    }
}
