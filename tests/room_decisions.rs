//! Tests of the decisions on who waits or is displaced when there is too little room.

mod support;

use hemlockramp::work::load::delay_cost::{RunningUnit, UnitOutlook};
use hemlockramp::work::load::fair_share::{ShareLevel, TeamHolding};
use hemlockramp::work::load::queue_order::{WaitingUnit, order_key};
use hemlockramp::work::load::room_choice::{RoomChoice, RoomOptions, wait_horizons};
use hemlockramp::work::load::victims::{VictimUnit, choose_victims};
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::placing::placement::{
    CandidateUpstream, CapacityClaim, UnitDemand, claim_rank,
};
use hemlockramp::work::placing::slowdown::UpstreamSlowdown;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, name, step};

/// Work of a task that keeps a core busy for a second, in millicore-milliseconds.
const CORE_SECOND: u64 = 1_000_000;
/// Longest time that a stop takes, in ms.
const STOP_MS: u64 = 200;

/// Capacity of an upstream.
const CAPACITY: ResourceAmount = ResourceAmount {
    cpu_milli: 64_000,
    memory_mb: 128_000,
    accelerators: 8,
};
const BATCH: UnitOutlook = UnitOutlook {
    priority: 2,
    work: 100 * CORE_SECOND,
    slack_ms: 26_000,
    objective_ms: 30_000,
};
const URGENT: UnitOutlook = UnitOutlook {
    priority: 0,
    work: 100 * CORE_SECOND,
    slack_ms: 1_000,
    objective_ms: 3_000,
};
const JUST_BEGUN: RunningUnit = RunningUnit {
    outlook: BATCH,
    worked_ms: 200,
    checkpoints: false,
    rate_milli: 10_000,
    displaced: 0,
};

/// Load: an urgent gang on a pool full of running units of all kinds.
#[test]
fn displacement_costs_least_where_least_is_lost() {
    let late = UnitOutlook {
        slack_ms: 14_000,
        ..BATCH
    };
    let by_cost = [
        ("just begun", JUST_BEGUN),
        (
            "with a checkpoint",
            RunningUnit {
                worked_ms: 9_000,
                checkpoints: true,
                ..JUST_BEGUN
            },
        ),
        (
            "displaced twice before",
            RunningUnit {
                displaced: 2,
                ..JUST_BEGUN
            },
        ),
        (
            "almost done",
            RunningUnit {
                worked_ms: 9_000,
                ..JUST_BEGUN
            },
        ),
        (
            "almost done and close to its objective",
            RunningUnit {
                worked_ms: 9_000,
                outlook: late,
                ..JUST_BEGUN
            },
        ),
        (
            "a wide gang almost done",
            RunningUnit {
                worked_ms: 9_000,
                rate_milli: 8 * JUST_BEGUN.rate_milli,
                ..JUST_BEGUN
            },
        ),
    ];
    let costs = by_cost.map(|(what, unit)| (unit.displacement_cost(2_000), what));
    assert!(costs.is_sorted(), "{costs:?}");
}

/// Load: an urgent gang on a pool of wide gangs. Each of them was counted anew on every upstream, so
/// that several were displaced and most of their room stayed idle.
#[test]
fn room_of_a_displaced_gang_is_used_before_others_are_displaced() {
    let victim = |upstreams: &[usize], lost_work| VictimUnit {
        upstreams: upstreams.to_vec(),
        need: CAPACITY,
        lost_work,
        rank: claim_rank(2, false),
    };
    let victims = [victim(&[0, 1], 100), victim(&[2], 101), victim(&[3], 102)];
    let candidates = [0, 1, 2, 3].map(|index| CandidateUpstream {
        name: name(&format!("u{index}")),
        rack: None,
        labels: Vec::new(),
        capacity: CAPACITY,
        free: ResourceAmount::default(),
        failure_score: 0.0,
        slowdown: UpstreamSlowdown::default(),
        reserved: None,
    });
    let demand = UnitDemand {
        count: 2,
        need: CAPACITY,
        ..UnitDemand::default()
    };
    let claim = CapacityClaim {
        job: name("gang"),
        unit: 0,
        rank: claim_rank(0, false),
    };
    let chosen = choose_victims(&demand, &claim, &candidates, &victims.each_ref());
    assert_eq!(chosen, Some(vec![0]));
}

struct ChoiceCase {
    what: &'static str,
    options: RoomOptions,
    choice: RoomChoice,
}

/// Load: bursts of urgent gangs while wide batch gangs run, some of them almost done.
#[test]
fn displacement_must_cost_less_than_waiting() {
    let plain = RoomOptions {
        outlook: URGENT,
        guaranteed: false,
        ends_ms: None,
        displacement_cost: Some(10 * CORE_SECOND),
        stop_ms: STOP_MS,
    };
    let cases = [
        ChoiceCase {
            what: "little is lost and nothing ends",
            options: plain,
            choice: RoomChoice::Displace,
        },
        ChoiceCase {
            what: "a wide gang loses more than the unit is worth",
            options: RoomOptions {
                displacement_cost: Some(1_000 * CORE_SECOND),
                ..plain
            },
            choice: RoomChoice::Wait,
        },
        ChoiceCase {
            what: "a guarantee is kept whatever it costs",
            options: RoomOptions {
                guaranteed: true,
                displacement_cost: Some(1_000 * CORE_SECOND),
                ..plain
            },
            choice: RoomChoice::Displace,
        },
        ChoiceCase {
            what: "no displacement leaves enough room",
            options: RoomOptions {
                displacement_cost: None,
                ..plain
            },
            choice: RoomChoice::Wait,
        },
        ChoiceCase {
            what: "room comes free as soon as a stop would free it",
            options: RoomOptions {
                ends_ms: Some(STOP_MS),
                ..plain
            },
            choice: RoomChoice::Wait,
        },
        ChoiceCase {
            what: "room comes free when the slack is gone",
            options: RoomOptions {
                ends_ms: Some(1_000),
                ..plain
            },
            choice: RoomChoice::Displace,
        },
        ChoiceCase {
            what: "nobody awaits the result any more",
            options: RoomOptions {
                outlook: UnitOutlook {
                    slack_ms: -9_000,
                    ..URGENT
                },
                displacement_cost: Some(1),
                ..plain
            },
            choice: RoomChoice::Wait,
        },
        ChoiceCase {
            what: "work with time to spare",
            options: RoomOptions {
                outlook: BATCH,
                ends_ms: Some(4_000),
                displacement_cost: Some(1),
                ..plain
            },
            choice: RoomChoice::Wait,
        },
    ];
    for case in cases {
        assert_eq!(case.options.choose(), case.choice, "{}", case.what);
    }
    assert_eq!(Vec::from_iter(wait_horizons(1_000, 300)), [300, 500, 1_000]);
}

/// Load: a small team's short queue beside a large team's, equally urgent.
#[test]
fn team_within_its_share_goes_first_among_equals() {
    let team = |held, guaranteed| TeamHolding { held, guaranteed }.level(96, 4);
    assert_eq!(team(24, 0), ShareLevel::Within);
    assert_eq!(team(25, 0), ShareLevel::Above);
    assert_eq!(team(40, 40), ShareLevel::Within);
    assert_eq!(team(49, 0), ShareLevel::FarAbove);
    let unit = |priority, slack_ms, share| WaitingUnit {
        priority,
        guaranteed: false,
        slack_ms,
        expired: false,
        work: CORE_SECOND,
        job_started: false,
        share,
    };
    let order = [
        unit(0, 10, ShareLevel::FarAbove),
        unit(1, 10, ShareLevel::Within),
        unit(1, 5, ShareLevel::Above),
        unit(1, -1, ShareLevel::Within),
    ];
    assert!(order.is_sorted_by_key(order_key), "{order:#?}");
}

/// Load: an urgent gang outside the guarantees finds a wide gang at work everywhere.
#[test]
fn urgent_gang_waits_for_a_wide_gang_that_is_almost_done() {
    struct WaitCase {
        worked_ms: u64,
        wide_runs: u32,
    }
    let cases = [(500, 2), (9_300, 1)].map(|(worked_ms, wide_runs)| WaitCase {
        worked_ms,
        wide_runs,
    });
    for case in cases {
        let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(7), 2, CAPACITY);
        pool.take_over();
        pool.submit_as("guest", "wide", "batch", vec![step(2, 10_000, 8, true)]);
        pool.run_for(case.worked_ms);
        pool.submit_as("guest", "gang", "urgent", vec![step(2, 8_000, 8, true)]);
        pool.run_for(30_000);
        assert!(pool.all_over(), "after {} ms", case.worked_ms);
        assert_eq!(pool.starts("wide.0.0.1"), case.wide_runs);
        assert!(pool.violations.is_empty(), "{:?}", pool.violations);
    }
}
