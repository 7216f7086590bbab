//! Tests of the gate that each start passes: its decisions, and starts that become unwelcome at their
//! upstream after they were decided.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use hemlockramp::work::owner::start_gate::{
    StartConditions, StartObstacle, StartStage, StartVerdict, start_verdict,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{FaultRates, PoolSim, name, step};

/// Time in which the owner places a job and its record reaches the store, in ms.
const PLACED_MS: u64 = 20;
/// Time for which the first upstream cannot be reached, so that its start is lost, in ms.
const CUT_MS: u64 = 400;
/// Seeds of the test with delayed orders.
const SEEDS: u64 = 100;

struct GateCase {
    stage: StartStage,
    conditions: StartConditions,
    verdict: StartVerdict,
}

fn conditions(set: impl FnOnce(&mut StartConditions)) -> StartConditions {
    let mut conditions = StartConditions::default();
    set(&mut conditions);
    conditions
}

/// Guards against a check that a caller forgets: each obstacle holds at each stage that it concerns,
/// and a run that may be at work is never stopped before its upstream has told.
#[test]
fn gate_decides_by_stage() {
    use StartObstacle::*;
    use StartStage::*;
    use StartVerdict::*;
    let row = |stage, verdict, set: fn(&mut StartConditions)| GateCase {
        stage,
        conditions: conditions(set),
        verdict,
    };
    let cases = [
        row(Placement, Pass, |_| {}),
        row(Recorded, Pass, |_| {}),
        row(Repeat, Pass, |_| {}),
        row(Placement, Withhold(Evacuated), |one| one.evacuated = true),
        row(Recorded, Withhold(Evacuated), |one| one.evacuated = true),
        row(Repeat, Withhold(Evacuated), |one| one.evacuated = true),
        row(Recorded, Withhold(Draining), |one| one.draining = true),
        row(Repeat, Withhold(Draining), |one| one.draining = true),
        row(Recorded, Withhold(Silent), |one| one.silent = true),
        row(Repeat, Wait(Silent), |one| one.silent = true),
        row(Recorded, Withhold(OtherLife), |one| one.other_life = true),
        row(Repeat, Wait(OtherLife), |one| one.other_life = true),
        row(Repeat, Wait(Unreconciled), |one| {
            one.unreconciled = true;
            one.evacuated = true;
        }),
        row(Repeat, Wait(Silent), |one| {
            one.silent = true;
            one.draining = true;
        }),
        row(Repeat, Withhold(Unwanted), |one| {
            one.unwanted = true;
            one.silent = true;
        }),
        row(Recorded, Withhold(Unwanted), |one| one.unwanted = true),
        row(Placement, Withhold(Quarantined), |one| {
            one.quarantined = true
        }),
        row(Recorded, Pass, |one| one.quarantined = true),
        row(Placement, Withhold(Unlisted), |one| one.unlisted = true),
        row(Repeat, Pass, |one| one.unlisted = true),
        row(Recorded, Pass, |one| one.unreconciled = true),
    ];
    for case in cases {
        let verdict = start_verdict(case.stage, &case.conditions);
        assert_eq!(
            verdict, case.verdict,
            "{:?} {:?}",
            case.stage, case.conditions
        );
    }
}

/// What happens to the upstream after the start was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateChange {
    Nothing,
    Drains,
    Evacuated,
}

/// A pool of two upstreams in failure domains of their own. The job's record is stored and its start
/// lost on its way to the first one; then its owner is gone. Returns the first one's index.
fn pool_with_lost_start(seed: u64, gang: bool) -> (PoolSim, usize) {
    let mut pool = pool(seed);
    pool.submit("a", "plain", vec![step(1 + u32::from(gang), 500, 4, gang)]);
    pool.run_for(PLACED_MS);
    for upstream in &mut pool.upstreams {
        upstream.unreachable_until_ms = pool.now_ms + CUT_MS;
    }
    pool.run_for(CUT_MS);
    assert_eq!(pool.starts("a.0.0.0"), 0, "the start was not lost");
    let owner = pool.owner.as_ref().expect("an owner");
    let member = &owner.jobs()[0].units[0].members[0];
    let chosen = member.upstream.clone().expect("a placed task");
    let index = pool.upstreams.iter().position(|one| one.name == chosen);
    (pool, index.expect("an upstream"))
}

fn pool(seed: u64) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(seed), 2, capacity);
    pool.upstreams[0].domain = name("first");
    pool.upstreams[1].domain = name("second");
    pool.take_over();
    pool
}

fn change_upstream(pool: &mut PoolSim, index: usize, change: LateChange) {
    match change {
        LateChange::Nothing => {}
        LateChange::Drains => pool.upstreams[index].draining = true,
        LateChange::Evacuated => {
            let domain = pool.upstreams[index].domain.clone();
            pool.evacuate([domain]);
        }
    }
}

/// Guards against starts on an upstream that leaves or whose failure domain is evacuated: a new owner
/// repeated the starts that an earlier one had stored, whatever had happened since.
#[test]
fn new_owner_moves_stored_starts_away() {
    for gang in [false, true] {
        for change in [
            LateChange::Nothing,
            LateChange::Drains,
            LateChange::Evacuated,
        ] {
            let (mut pool, index) = pool_with_lost_start(1, gang);
            change_upstream(&mut pool, index, change);
            pool.take_over();
            let mut here = 0;
            for _ in 0..1_000 {
                pool.step();
                let running = pool.running("a.0.0.0");
                here += u32::from(running.as_ref() == Some(&pool.upstreams[index].name));
            }
            let case = format!("{change:?}, gang {gang}");
            assert_eq!(here > 0, change == LateChange::Nothing, "{case}");
            assert_eq!(pool.phase("a"), JobPhase::Completed, "{case}");
            assert_eq!(pool.starts("a.0.0.0"), 1, "{case}");
            assert!(pool.violations.is_empty(), "{:#?}", pool.violations);
        }
    }
}

/// Guards against duplicate runs: the first copy of a start that is not repeated may still arrive.
#[test]
fn withheld_start_that_arrives_late_causes_no_duplicate_run() {
    for seed in 0..SEEDS {
        for change in [LateChange::Drains, LateChange::Evacuated] {
            let mut pool = pool(seed);
            pool.fault_rates = FaultRates {
                response_lost: 500,
                order_delayed: 700,
            };
            pool.submit("a", "plain", vec![step(4, 900, 2, seed % 2 == 0)]);
            pool.run_for(100 + 10 * seed);
            change_upstream(&mut pool, 0, change);
            if seed % 3 == 0 {
                pool.take_over();
            }
            pool.run_for(10_000);
            pool.fault_rates = FaultRates::default();
            pool.run_for(40_000);
            assert!(
                pool.violations.is_empty(),
                "seed {seed}, {change:?}: {:#?} {:#?}",
                pool.violations,
                pool.trace_of("a.0.0.0")
            );
            assert_eq!(pool.phase("a"), JobPhase::Completed, "seed {seed}");
        }
    }
}
