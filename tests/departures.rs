//! Tests of the work whose upstreams leave: what is decided, and what comes of it.

mod support;

use hemlockramp::work::load::departure::{
    DepartingUnit, DepartureLimits, DepartureStep, departure_step,
};
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, step};

const LIMITS: DepartureLimits = DepartureLimits {
    stop_ms: 900,
    silence_ms: 9_000,
};
/// Notice that the upstream gives, in ms.
const NOTICE_MS: u64 = 5_500;

struct StepCase {
    name: &'static str,
    /// For how long the upstreams stay, and how long the unit needs and has worked, in ms.
    times_ms: (u64, u64, u64),
    checkpoints: bool,
    has_room: bool,
    step: DepartureStep,
}

/// Guards against work that is lost with its upstream although there was notice, and against moves
/// that gain nothing.
#[test]
fn departure_is_decided_by_what_is_lost() {
    let row = |name, times_ms, checkpoints, has_room, step| StepCase {
        name,
        times_ms,
        checkpoints,
        has_room,
        step,
    };
    let cases = [
        row(
            "ends in time",
            (5_500, 5_500, 100),
            false,
            true,
            DepartureStep::Stay,
        ),
        row(
            "ends in time, saved",
            (1_000, 900, 100),
            true,
            true,
            DepartureStep::Stay,
        ),
        row(
            "just begun",
            (5_500, 8_000, 500),
            false,
            true,
            DepartureStep::Move,
        ),
        row(
            "may end in time",
            (5_000, 5_400, 500),
            false,
            true,
            DepartureStep::Stay,
        ),
        row(
            "no room",
            (5_500, 8_000, 500),
            false,
            false,
            DepartureStep::Stay,
        ),
        row(
            "much to lose",
            (1_000, 3_000, 20_000),
            false,
            true,
            DepartureStep::Stay,
        ),
        row(
            "saves late",
            (5_500, 8_000, 500),
            true,
            true,
            DepartureStep::Stay,
        ),
        row(
            "saves now",
            (1_600, 8_000, 500),
            true,
            true,
            DepartureStep::Save,
        ),
        row(
            "saves without room",
            (1_600, 8_000, 9_000),
            true,
            false,
            DepartureStep::Save,
        ),
        row(
            "notice is over",
            (0, 1, 20_000),
            true,
            false,
            DepartureStep::Save,
        ),
    ];
    for case in cases {
        let (stays_ms, needs_ms, worked_ms) = case.times_ms;
        let unit = DepartingUnit {
            stays_ms,
            needs_ms,
            worked_ms,
            checkpoints: case.checkpoints,
        };
        let step = departure_step(&unit, &LIMITS, || case.has_room);
        assert_eq!(step, case.step, "{}", case.name);
    }
}

struct NoticeCase {
    name: &'static str,
    /// Run time of the two tasks, in ms.
    run_ms: u64,
    gang: bool,
    checkpoints: bool,
    /// Number of upstreams; the tasks take two of them.
    upstreams: usize,
    /// Starts of the first task, and the time by which the job has ended, in ms.
    starts: u32,
    ended_by_ms: u64,
}

/// Guards against gangs that are lost with one leaving member: they were started again only when the
/// upstream's leases were over.
#[test]
fn work_leaves_before_its_upstream() {
    let cases = [
        NoticeCase {
            name: "ends in time",
            run_ms: 4_000,
            gang: true,
            checkpoints: false,
            upstreams: 4,
            starts: 1,
            ended_by_ms: 4_500,
        },
        NoticeCase {
            name: "gang moves early",
            run_ms: 8_000,
            gang: true,
            checkpoints: false,
            upstreams: 4,
            starts: 2,
            ended_by_ms: 11_000,
        },
        NoticeCase {
            name: "saved at the end of the notice",
            run_ms: 8_000,
            gang: true,
            checkpoints: true,
            upstreams: 4,
            starts: 2,
            ended_by_ms: 15_500,
        },
    ];
    for case in cases {
        let mut pool = notice(&case);
        pool.run_for(case.ended_by_ms);
        let trace = pool.trace_of("a.0.0.0");
        assert_eq!(
            pool.phase("a"),
            JobPhase::Completed,
            "{}: {trace:#?}",
            case.name
        );
        assert_eq!(
            pool.starts("a.0.0.0"),
            case.starts,
            "{}: {trace:#?}",
            case.name
        );
        assert!(pool.violations.is_empty(), "{:#?}", pool.violations);
    }
}

/// Guards against moves that gain nothing: without room elsewhere, work stays to the end.
#[test]
fn work_stays_without_room_elsewhere() {
    let mut pool = notice(&NoticeCase {
        name: "no room",
        run_ms: 8_000,
        gang: true,
        checkpoints: false,
        upstreams: 2,
        starts: 1,
        ended_by_ms: 0,
    });
    pool.run_for(NOTICE_MS - 700);
    assert!(pool.running("a.0.0.0").is_some(), "{:#?}", pool.trace);
    assert_eq!(pool.starts("a.0.0.0"), 1);
}

/// A pool with a job of two tasks at work, of whose upstreams one has given notice.
fn notice(case: &NoticeCase) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut pool = PoolSim::new(random, case.upstreams, capacity);
    pool.take_over();
    let mut tasks = step(2, case.run_ms, 8, case.gang);
    tasks.checkpoints = case.checkpoints;
    pool.submit("a", "plain", vec![tasks]);
    pool.run_for(300);
    let chosen = pool.running("a.0.0.0").expect("a run");
    let index = pool.upstreams.iter().position(|one| one.name == chosen);
    let leaves_ms = pool.now_ms + NOTICE_MS;
    pool.upstreams[index.expect("an upstream")].leaves_ms = Some(leaves_ms);
    pool
}
