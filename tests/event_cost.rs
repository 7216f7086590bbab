//! Tests that the work of one event does not grow with the pool, nor with what it has nothing to do
//! with. Steps are counted, so that the tests show the same on any machine.

mod support;

use hemlockramp::work::model::upstream::EndKind;
use hemlockramp::work::owner::work_counts::WorkKind;
use support::answering_pool::AnsweringPool;
use support::pool_sim::step;

/// Upstreams of the pool that runs gangs.
const GANG_POOL_SIZE: usize = 1_100;
/// Time in which all jobs of a test are placed and confirmed, in ms.
const PLACED_MS: u64 = 4_000;
/// Time after which the speed of upstreams is judged again, in ms.
const JUDGED_AGAIN_MS: u64 = 1_200;

fn steps(pool: &AnsweringPool, kind: WorkKind) -> u64 {
    pool.owner.counts().get(kind)
}

#[test]
fn the_first_end_of_a_gang_costs_in_proportion_to_its_members() {
    let sizes: [u32; 2] = [8, 512];
    let [small, large] = sizes.map(|members| {
        let mut pool = AnsweringPool::new(GANG_POOL_SIZE);
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
        let mut pool = AnsweringPool::new(GANG_POOL_SIZE);
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
