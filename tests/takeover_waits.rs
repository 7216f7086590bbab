//! Tests of waiting work across a change of the pool's owner.

mod support;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, lasting_step, name, step};

use hemlockramp::work::model::amount::ResourceAmount;

/// Seed of the simulation; no fault is drawn.
const SEED: u64 = 1;
/// Estimate of the waiting task, in ms. A task that is away from its data takes three times as long, so
/// it waits for its rack for twice the estimate.
const ESTIMATE_MS: u64 = 2_000;
/// Time before the change of the owner, in ms.
const BEFORE_MS: u64 = 3_000;
/// Time after it, in ms. Both together outlast the wait.
const AFTER_MS: u64 = 1_500;

struct TakeoverCase {
    name: &'static str,
    changes: usize,
}

/// Guards against work that starts late: each new owner let all waiting units wait for their racks anew,
/// whatever they had waited before.
#[test]
fn change_of_owner_does_not_begin_the_locality_wait_anew() {
    let cases = [
        TakeoverCase {
            name: "no change",
            changes: 0,
        },
        TakeoverCase {
            name: "one change",
            changes: 1,
        },
        TakeoverCase {
            name: "two changes",
            changes: 2,
        },
    ];
    for case in cases {
        let capacity = ResourceAmount {
            cpu_milli: 64_000,
            memory_mb: 128_000,
            accelerators: 8,
        };
        let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(SEED), 4, capacity);
        pool.take_over();
        let mut held = lasting_step(2, 8);
        held.data_rack = Some(name("r0"));
        pool.submit("held", "plain", vec![held]);
        pool.run_for(500);
        let mut waiting = step(1, ESTIMATE_MS, 8, false);
        waiting.data_rack = Some(name("r0"));
        pool.submit("waiting", "plain", vec![waiting]);
        pool.run_for(BEFORE_MS);
        assert_eq!(pool.starts("waiting.0.0.0"), 0, "{}: no wait", case.name);
        for _ in 0..case.changes {
            pool.take_over();
        }
        pool.run_for(AFTER_MS);
        assert_eq!(pool.starts("waiting.0.0.0"), 1, "{}", case.name);
        assert!(pool.violations.is_empty(), "{:?}", pool.violations);
    }
}
