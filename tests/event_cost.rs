//! Tests that the work of one event does not grow with the pool, nor with what it has nothing to do
//! with. Steps are counted, so that the tests show the same on any machine.

mod support;

use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::spec::StepSpec;
use hemlockramp::work::model::upstream::EndKind;
use hemlockramp::work::owner::work_counts::WorkKind;
use support::answering_pool::AnsweringPool;
use support::pool_sim::step;

/// Upstreams of a small and of a large pool.
const POOL_SIZES: [usize; 2] = [50, 1_100];
/// Tasks of a small and of a large job.
const JOB_SIZES: [u32; 2] = [20, 2_000];
/// Upstreams of the pool that runs both.
const JOB_POOL_SIZE: usize = 300;
/// Steps that an event may cost more in a large pool or job, for the depth of searches.
const SLACK_STEPS: u64 = 20;
/// Time in which all jobs of a test are placed and confirmed, in ms.
const PLACED_MS: u64 = 4_000;
/// Time after which the speed of upstreams is judged again, in ms.
const JUDGED_AGAIN_MS: u64 = 1_200;
/// Time in which ends are recorded and acknowledged, in ms.
const SETTLE_MS: u64 = 60;
/// Turns of which the cheapest counts: what is done once in a while is not part of one event.
const TURNS: usize = 20;

fn steps(pool: &AnsweringPool, kind: WorkKind) -> u64 {
    pool.owner.counts().get(kind)
}

/// Returns the fewest steps of a kind that an act took.
fn fewest_steps(
    pool: &mut AnsweringPool,
    kind: WorkKind,
    mut act: impl FnMut(&mut AnsweringPool, usize),
) -> u64 {
    let counted = (0..TURNS).map(|turn| {
        let before = steps(pool, kind);
        act(pool, turn);
        let taken = steps(pool, kind) - before;
        pool.run_for(SETTLE_MS);
        taken
    });
    counted.min().expect("a turn")
}

/// A pool with the same work at any size.
fn loaded_pool(upstreams: usize) -> AnsweringPool {
    let mut pool = AnsweringPool::new(upstreams);
    for job in 0..8 {
        let id = format!("job-{job}");
        pool.submit(&id, "plain", vec![step(20, 9_500, 1, false)]);
    }
    pool.run_for(PLACED_MS);
    pool.advance(30);
    pool.run_for(JUDGED_AGAIN_MS);
    pool
}

/// A pool with one job of single tasks.
fn pool_with_job(tasks: u32) -> AnsweringPool {
    let mut pool = AnsweringPool::new(JOB_POOL_SIZE);
    pool.submit("job", "plain", vec![step(tasks, 9_500, 1, false)]);
    pool.run_for(PLACED_MS);
    pool
}

/// An event, and the steps that it takes in a pool.
struct EventCase {
    name: &'static str,
    kind: WorkKind,
    act: fn(&mut AnsweringPool, usize),
}

fn answer_one(pool: &mut AnsweringPool, turn: usize) {
    let busy = pool.busy();
    assert!(pool.answer(busy[turn % busy.len()]), "an open renewal");
}

fn end_one(pool: &mut AnsweringPool, turn: usize) {
    let busy = pool.busy();
    let upstream = busy[turn % busy.len()];
    pool.end_run(upstream, EndKind::Done);
    assert!(pool.answer(upstream), "an open renewal");
}

#[test]
fn an_event_costs_the_same_in_a_large_pool() {
    let cases = [
        EventCase {
            name: "a tick with nothing due",
            kind: WorkKind::ScanStep,
            act: |pool, _| pool.tick(),
        },
        EventCase {
            name: "a turn with nothing due",
            kind: WorkKind::ScanStep,
            act: |pool, _| pool.turn(),
        },
        EventCase {
            name: "an answer and the turn after it",
            kind: WorkKind::ScanStep,
            act: |pool, turn| {
                answer_one(pool, turn);
                pool.turn();
            },
        },
        EventCase {
            name: "an end and the turn that records it",
            kind: WorkKind::ScanStep,
            act: |pool, turn| {
                end_one(pool, turn);
                pool.turn();
            },
        },
    ];
    for case in cases {
        let [small, large] = POOL_SIZES.map(|upstreams| {
            let mut pool = loaded_pool(upstreams);
            fewest_steps(&mut pool, case.kind, case.act)
        });
        assert!(
            large <= small + SLACK_STEPS,
            "{}: {small} steps in a small pool, {large} in a large one",
            case.name
        );
    }
}

#[test]
fn an_end_costs_the_same_in_a_large_job() {
    let [small, large] = JOB_SIZES.map(|tasks| {
        let mut pool = pool_with_job(tasks);
        fewest_steps(&mut pool, WorkKind::ScanStep, |pool, turn| {
            end_one(pool, turn);
            pool.turn();
        })
    });
    assert!(
        large <= small + SLACK_STEPS,
        "{small} steps in a small job, {large} in a large one"
    );
}

#[test]
fn an_upstream_that_answers_again_costs_the_same_beside_a_large_job() {
    let [small, large] = JOB_SIZES.map(|tasks| {
        let mut pool = pool_with_job(tasks);
        let upstream = pool.busy()[0];
        pool.hesitant = Some(upstream);
        assert!(pool.miss(upstream), "an open renewal");
        pool.run_for(300);
        let before = steps(&pool, WorkKind::ScanStep);
        assert!(pool.answer(upstream), "an open renewal");
        steps(&pool, WorkKind::ScanStep) - before
    });
    assert!(
        large <= small + SLACK_STEPS,
        "{small} steps beside a small job, {large} beside a large one"
    );
}

#[test]
fn the_first_end_of_a_gang_costs_in_proportion_to_its_members() {
    let sizes: [u32; 2] = [8, 512];
    let [small, large] = sizes.map(|members| {
        let mut pool = AnsweringPool::new(POOL_SIZES[1]);
        pool.submit("gang", "plain", vec![step(members, 9_500, 4, true)]);
        pool.run_for(PLACED_MS);
        pool.advance(30);
        pool.run_for(JUDGED_AGAIN_MS);
        let before = steps(&pool, WorkKind::EvidenceStep);
        let upstream = pool.busy()[0];
        pool.end_run(upstream, EndKind::Done);
        pool.answer(upstream);
        steps(&pool, WorkKind::EvidenceStep) - before
    });
    let factor = u64::from(sizes[1] / sizes[0]);
    assert!(
        large <= 2 * factor * small,
        "{small} steps with 8 members, {large} with 512"
    );
}

#[test]
fn the_answers_of_a_gang_cost_in_proportion_to_its_members() {
    let sizes: [u32; 2] = [8, 512];
    let [small, large] = sizes.map(|members| {
        let mut pool = AnsweringPool::new(POOL_SIZES[1]);
        pool.submit("gang", "plain", vec![step(members, 9_500, 4, true)]);
        pool.run_for(PLACED_MS);
        pool.advance(30);
        pool.run_for(JUDGED_AGAIN_MS);
        let before = steps(&pool, WorkKind::EvidenceStep);
        for upstream in pool.busy() {
            assert!(pool.answer(upstream), "an open renewal");
        }
        steps(&pool, WorkKind::EvidenceStep) - before
    });
    let factor = u64::from(sizes[1] / sizes[0]);
    assert!(
        large <= 2 * factor * small,
        "{small} steps with 8 members, {large} with 512"
    );
}

#[test]
fn an_answer_costs_in_proportion_to_the_runs_that_it_lists() {
    let sizes: [u32; 2] = [4, 64];
    let [small, large] = sizes.map(|runs| {
        let mut pool = AnsweringPool::new(1);
        let task = StepSpec {
            need: ResourceAmount {
                cpu_milli: 1_000,
                ..ResourceAmount::default()
            },
            ..step(runs, 9_500, 0, false)
        };
        pool.submit("job", "plain", vec![task]);
        pool.run_for(PLACED_MS);
        assert_eq!(pool.runs(0), runs as usize);
        let before = steps(&pool, WorkKind::ReconcileStep);
        pool.answer(0);
        steps(&pool, WorkKind::ReconcileStep) - before
    });
    let factor = u64::from(sizes[1] / sizes[0]);
    assert!(
        large <= 2 * factor * small,
        "{small} steps for 4 runs, {large} for 64"
    );
}
