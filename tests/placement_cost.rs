//! Tests of the work that the owner does to place units, in steps rather than in time.

mod support;

use hemlockramp::work::clock::HostTime;
use hemlockramp::work::load::victims::{VictimSearch, VictimUnit};
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::spec::StepSpec;
use hemlockramp::work::owner::work_counts::WorkKind;
use hemlockramp::work::placing::placement::{
    CandidateUpstream, CapacityClaim, Isolation, UnitDemand, place_unit,
};
use hemlockramp::work::placing::ranking::CandidateRanking;
use hemlockramp::work::placing::slowdown::{SlowdownLimit, SpeedPreference, UpstreamSlowdown};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, name, step};

const SEED: u64 = 7;
/// Upstreams of a large pool.
const MANY_UPSTREAMS: usize = 1_100;

/// Work of some placement rounds.
#[derive(Clone, Copy, Debug)]
struct RoundWork {
    placements: u64,
    search_steps: u64,
}

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

/// Runs one placement round and returns its work.
fn run_round(pool: &mut PoolSim) -> RoundWork {
    pool.now_ms += 10;
    let now = HostTime {
        steady_ms: pool.now_ms,
        wall_ms: pool.now_ms,
    };
    let owner = pool.owner.as_mut().expect("an owner");
    let before = owner.counts().clone();
    owner.tick(now);
    let done = |kind| owner.counts().get(kind) - before.get(kind);
    RoundWork {
        placements: done(WorkKind::Placement),
        search_steps: done(WorkKind::SearchStep),
    }
}

/// A step of single tasks that are spread over the upstreams.
fn spread_step(count: u32, spread_max: u32) -> StepSpec {
    let mut spread = step(count, 10_000, 0, false);
    spread.need = ResourceAmount {
        cpu_milli: 10,
        memory_mb: 8,
        accelerators: 0,
    };
    spread.spread_max = spread_max;
    spread
}

/// Cases of `search_of_room_for_a_step_does_not_grow_with_its_tasks`.
struct StepCase {
    name: &'static str,
    upstreams: usize,
    step: StepSpec,
    /// Steps for each upstream.
    per_upstream: u64,
    /// Steps for each task.
    per_task: u64,
}

/// Guards against a silent owner: each placement compared the names of all placed tasks of the step
/// with those of all upstreams.
#[test]
fn search_of_room_for_a_step_does_not_grow_with_its_tasks() {
    let cases = [
        StepCase {
            name: "one task on few upstreams",
            upstreams: 50,
            step: step(1, 10_000, 1, false),
            per_upstream: 3,
            per_task: 4,
        },
        StepCase {
            name: "one task on many upstreams",
            upstreams: MANY_UPSTREAMS,
            step: step(1, 10_000, 1, false),
            per_upstream: 3,
            per_task: 4,
        },
        StepCase {
            name: "a wide step",
            upstreams: MANY_UPSTREAMS,
            step: step(416, 10_000, 1, false),
            per_upstream: 3,
            per_task: 4,
        },
        StepCase {
            name: "a wide spread step",
            upstreams: MANY_UPSTREAMS,
            step: spread_step(416, 2),
            per_upstream: 3,
            per_task: 4,
        },
        StepCase {
            name: "a wide step that is to share a rack",
            upstreams: MANY_UPSTREAMS,
            step: StepSpec {
                same_rack: true,
                ..step(416, 10_000, 1, false)
            },
            per_upstream: 4,
            per_task: 4,
        },
        StepCase {
            name: "a gang",
            upstreams: MANY_UPSTREAMS,
            step: step(16, 10_000, 1, true),
            per_upstream: 3,
            per_task: 4,
        },
    ];
    for case in cases {
        let mut pool = pool(case.upstreams);
        let tasks = u64::from(case.step.count);
        let units = if case.step.gang { 1 } else { tasks };
        pool.submit("a", "plain", vec![case.step]);
        let work = run_round(&mut pool);
        assert_eq!(work.placements, units, "{}", case.name);
        let allowed = case.per_upstream * case.upstreams as u64 + case.per_task * tasks;
        assert!(work.search_steps <= allowed, "{}: {work:?}", case.name);
    }
}

/// Upstreams of a rack.
const RACK_SIZE: usize = 20;
/// Tasks that one round may place, with those of a gang beyond.
const ROUND_TASKS_MAX: u64 = 512;
/// Steps that one round may take: its bound, and one search beyond.
const ROUND_STEPS_MAX: u64 = 150_000;
/// Tasks of the widest job.
const WIDEST_STEP: u32 = 20_000;

/// Runs a placement round and checks that it is bounded.
fn run_bounded_round(pool: &mut PoolSim) -> RoundWork {
    let work = run_round(pool);
    assert!(work.placements <= ROUND_TASKS_MAX, "{work:?}");
    assert!(work.search_steps <= ROUND_STEPS_MAX, "{work:?}");
    work
}

/// Guards against a pool without an owner: one job of 20,000 tasks held each owner's
/// thread for a whole round of some 25 s, so that its heartbeats and renewals got no turn.
#[test]
fn a_wide_step_is_placed_in_bounded_rounds() {
    for upstreams in [48, MANY_UPSTREAMS] {
        let mut pool = pool(upstreams);
        pool.submit("wide", "plain", vec![spread_step(WIDEST_STEP, 1_000)]);
        let first = run_bounded_round(&mut pool);
        pool.submit("now", "urgent", vec![step(1, 10_000, 1, false)]);
        run_bounded_round(&mut pool);
        assert_eq!(
            placed_tasks(&pool, "now"),
            1,
            "{upstreams}: urgent work waited"
        );
        let mut rounds = 2;
        while placed_tasks(&pool, "wide") < WIDEST_STEP as usize {
            run_bounded_round(&mut pool);
            rounds += 1;
            let needed = u64::from(WIDEST_STEP) / first.placements;
            assert!(rounds < needed + 4, "{upstreams}: the rounds do not get on");
        }
    }
}

/// Guards against starvation: work that does not fit is searched for first in each round.
#[test]
fn a_round_that_is_cut_short_leaves_nobody_out() {
    let mut pool = pool(MANY_UPSTREAMS);
    for index in 0..400 {
        let mut wide = step(2, 10_000, 9, true);
        wide.need.cpu_milli += index;
        pool.submit(&format!("wide{index}"), "urgent", vec![wide]);
    }
    pool.submit("small", "batch", vec![step(1, 10_000, 1, false)]);
    let mut rounds = 0;
    while placed_tasks(&pool, "small") == 0 {
        run_bounded_round(&mut pool);
        rounds += 1;
        assert!(rounds < 100, "the last of the queue is never reached");
    }
}

/// Returns the number of a job's tasks that are on upstreams.
fn placed_tasks(pool: &PoolSim, job: &str) -> usize {
    let owner = pool.owner.as_ref().expect("an owner");
    let state = owner.jobs().iter().find(|state| state.id == name(job));
    let units = &state.expect("the job").units;
    let members = units.iter().flat_map(|unit| &unit.members);
    members.filter(|member| member.upstream.is_some()).count()
}

/// Returns candidates of all kinds of rooms and speeds.
fn mixed_candidates(random: &mut ChaCha8Rng, count: usize) -> Vec<CandidateUpstream> {
    let capacity = amount(8);
    let one = |index| CandidateUpstream {
        name: name(&format!("u{index:02}")),
        rack: (random.random_range(0..8) > 0).then(|| name(&format!("r{}", index / 4))),
        labels: vec![name(["a", "b"][random.random_range(0..2)])],
        capacity,
        free: amount(random.random_range(0..9)),
        failure_score: f64::from(random.random_range(0..4)) / 4.0,
        slowdown: UpstreamSlowdown::new(random.random_range(-0.5..0.9), 0.2),
        reserved: (random.random_range(0..6) == 0).then(|| claim(random.random_range(0..4))),
    };
    (0..count).map(one).collect()
}

fn amount(accelerators: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_milli: accelerators * 1_000,
        memory_mb: accelerators * 1_000,
        accelerators,
    }
}

fn claim(rank: u32) -> CapacityClaim {
    CapacityClaim {
        job: name("job"),
        unit: 0,
        rank,
    }
}

fn mixed_demand(random: &mut ChaCha8Rng) -> UnitDemand {
    let limit = SlowdownLimit::new(random.random_range(900..2_000), 1_000);
    UnitDemand {
        count: 1,
        need: amount(random.random_range(1..4)),
        label: (random.random_range(0..3) == 0).then(|| name("a")),
        data_rack: (random.random_range(0..3) == 0).then(|| name("r1")),
        any_rack: random.random_range(0..3) > 0,
        spread_max: random.random_range(0..3),
        avoided_upstreams: vec![name("u03")],
        speed: SpeedPreference {
            limit,
            yields: None,
        },
        isolation: [Isolation::None, Isolation::Preferred, Isolation::Required]
            [random.random_range(0..3)],
        ..UnitDemand::default()
    }
}

#[test]
fn a_ranking_kept_over_placements_chooses_like_a_new_search() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut placed = 0;
    for round in 0..300 {
        let mut candidates = mixed_candidates(&mut random, 24);
        let mut demand = mixed_demand(&mut random);
        let claim = claim(2);
        let mut ranking = CandidateRanking::new(&demand, &claim, &candidates);
        loop {
            let chosen = place_unit(&demand, &claim, &candidates);
            let first = ranking.first().map(|index| vec![index]);
            assert_eq!(first, chosen, "round {round}: {demand:?}");
            let Some(&[index]) = chosen.as_deref() else {
                break;
            };
            placed += 1;
            candidates[index].free = candidates[index].free.minus(&demand.need);
            demand.siblings.add(&candidates[index].name);
            ranking.renew_first(&demand, &claim, &candidates);
        }
    }
    assert!(placed > 1_000, "{placed}");
}

/// Cases of `a_search_for_victims_grows_no_faster_than_the_pool`.
struct VictimsCase {
    name: &'static str,
    /// Tasks of the unit that needs room.
    tasks: usize,
    /// Racks to each of which the unit may be confined; 0 if it may span racks.
    racks: usize,
    /// Tasks of each unit that runs.
    victim_tasks: usize,
}

/// Guards against a silent owner: for each of the slots of a wide gang, the slots of all upstreams were
/// rated anew.
#[test]
fn a_search_for_victims_grows_no_faster_than_the_pool() {
    let cases = [
        VictimsCase {
            name: "a single task among single tasks",
            tasks: 1,
            racks: 0,
            victim_tasks: 1,
        },
        VictimsCase {
            name: "a wide gang among single tasks",
            tasks: 416,
            racks: 0,
            victim_tasks: 1,
        },
        VictimsCase {
            name: "a wide gang among wide gangs",
            tasks: 416,
            racks: 0,
            victim_tasks: 200,
        },
        VictimsCase {
            name: "a gang that needs one rack",
            tasks: 64,
            racks: MANY_UPSTREAMS.div_ceil(RACK_SIZE),
            victim_tasks: 1,
        },
    ];
    for case in cases {
        let mut candidates = mixed_candidates(&mut ChaCha8Rng::seed_from_u64(SEED), MANY_UPSTREAMS);
        for (index, one) in candidates.iter_mut().enumerate() {
            one.rack = Some(name(&format!("r{}", index / RACK_SIZE)));
            one.free = ResourceAmount::default();
            one.reserved = None;
        }
        let slots = (0..8).flat_map(|_| 0..MANY_UPSTREAMS).collect::<Vec<_>>();
        let victims: Vec<VictimUnit> = slots
            .chunks(case.victim_tasks)
            .enumerate()
            .map(|(index, upstreams)| VictimUnit {
                upstreams: upstreams.to_vec(),
                need: amount(1),
                lost_work: (index as u64 * 7_919) % 10_007,
                rank: 4,
            })
            .collect();
        let demand = UnitDemand {
            count: case.tasks,
            need: amount(1),
            any_rack: true,
            same_rack: case.racks > 0,
            ..UnitDemand::default()
        };
        let victims: Vec<&VictimUnit> = victims.iter().collect();
        let claim = claim(0);
        let search = VictimSearch::new(&demand, &claim, &candidates, &victims);
        assert!(search.choose().is_some(), "{}", case.name);
        // Each upstream is looked at with its eight slots, and again when a victim there is taken.
        let taken = case.tasks * case.racks.max(1) * case.victim_tasks.min(8);
        let looks = MANY_UPSTREAMS + 2 * taken;
        assert!(
            search.steps() <= 20 * looks,
            "{}: {}",
            case.name,
            search.steps()
        );
    }
}

/// Returns the work of a round in which so many urgent units do not fit, on a full pool for which the
/// widest job waits.
fn run_blocked_round(blocked: u64) -> RoundWork {
    let mut pool = pool(50);
    pool.submit("full", "batch", vec![step(400, 60_000, 1, false)]);
    pool.run_for(300);
    assert_eq!(placed_tasks(&pool, "full"), 400);
    pool.submit("wide", "batch", vec![step(WIDEST_STEP, 60_000, 1, false)]);
    for index in 0..blocked {
        let mut urgent = step(1, 10_000, 1, false);
        urgent.need.cpu_milli += index;
        pool.submit_as("other", &format!("urgent{index}"), "urgent", vec![urgent]);
    }
    run_round(&mut pool)
}

/// Guards against a silent owner: each unit that did not fit went through all units of all jobs, those
/// that wait included, up to four times.
#[test]
fn units_that_do_not_fit_share_what_is_known_of_running_work() {
    let (few, many) = (run_blocked_round(2), run_blocked_round(8));
    let for_each = (many.search_steps - few.search_steps) / 6;
    // Ten times through 50 upstreams with 400 tasks.
    assert!(for_each <= 4_500, "{for_each} steps for each unit");
}
