//! Tests of the reservations that the plan makes for gangs blocked for a long time.

mod support;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::fold::{FoldHarness, job, name, team};

/// Workers in each rack of the test fold.
const RACK_WORKERS: usize = 4;
/// Racks of the test fold; each holds one gang.
const RACKS: usize = 2;
/// Expected run time of the work that fills the racks, in ms.
const FILLER_MS: u64 = 10_000_000;
/// Expected run time of the late job, in ms; it outlasts the fillers.
const LATE_MS: u64 = 100_000_000;

/// Returns a fold whose racks are full of borrowed work, one job a worker.
fn full_racks(random: &mut ChaCha8Rng) -> FoldHarness {
    let mut harness = FoldHarness::new(RACKS);
    harness.ticket(1, vec![team("blue", &[])]);
    for index in 0..RACKS * RACK_WORKERS {
        let mut filler = job(&format!("filler{index}"), "blue", 8, 1);
        filler.declared_ms = FILLER_MS;
        harness.submit(filler);
    }
    harness.settle(random);
    harness
}

/// Cancels one job on each rack, so that each rack has one free worker.
fn free_one_worker_a_rack(harness: &mut FoldHarness, random: &mut ChaCha8Rng) {
    for rack in 0..RACKS as u32 {
        let on_rack = |id: &String| {
            let attempt = harness.state.attempt_of(&name(id));
            attempt.is_some_and(|attempt| attempt.cells[0].rack == rack)
        };
        let ids = (0..RACKS * RACK_WORKERS).map(|index| format!("filler{index}"));
        let id = ids.into_iter().find(on_rack).expect("a job on the rack");
        harness.cancel(&[&id]);
    }
    harness.settle(random);
}

// Two blocked gangs reserved the same rack, and the other one was filled up again.
#[test]
fn blocked_gangs_reserve_distinct_cells() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut harness = full_racks(&mut random);
    for gang in ["gang0", "gang1"] {
        harness.submit(job(gang, "blue", 32, 1));
    }
    harness.now_ms += harness.policy.reservation_ms;
    free_one_worker_a_rack(&mut harness, &mut random);
    let mut late = job("late", "blue", 8, 1);
    late.declared_ms = LATE_MS;
    harness.submit(late);
    harness.plan();
    assert_eq!(harness.job_state("late"), "waiting");
    assert_eq!(harness.job_state("gang0"), "waiting");
    assert_eq!(harness.job_state("gang1"), "waiting");
}
