//! Tests of the pool owner's fencing tokens: which of them a restarted upstream gets, and what a
//! refusal of one proves.

mod support;

use hemlockramp::work::clock::HostTime;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::JobPhase;
use hemlockramp::work::model::upstream::{
    OrderFailure, RenewOrder, StartOrder, StartOutcome, StartRefusal, StopOrder,
};
use hemlockramp::work::owner::{PoolOwner, UpstreamOrder};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, step};

/// Time in which the owner places a job and sends its first orders, in ms.
const PLACED_MS: u64 = 100;
/// Seeds for each time of recording.
const SEEDS: u64 = 60;
/// Probability that an answer is lost, in thousandths.
const RESPONSE_LOST: u32 = 400;
/// A time for recording that no test reaches, in ms.
const NEVER_MS: u64 = 1_000_000;

fn pool(seed: u64) -> PoolSim {
    let capacity = ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    };
    let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(seed), 1, capacity);
    pool.take_over();
    pool
}

/// Tells the owner of a later life of its only upstream.
fn report_restart(owner: &mut PoolOwner) {
    let mut report = owner.upstreams()[0].report.clone().expect("a report");
    report.incarnation += 1;
    owner.on_report(report);
}

/// Lets the owner act at once; returns its orders.
fn act(owner: &mut PoolOwner, now_ms: u64) -> Vec<UpstreamOrder> {
    owner.tick(HostTime {
        steady_ms: now_ms,
        wall_ms: now_ms,
    });
    owner.take_orders()
}

fn token(order: &UpstreamOrder) -> u64 {
    match order {
        UpstreamOrder::Start(order) => order.target.fencing_token,
        UpstreamOrder::Stop(order) => order.target.fencing_token,
        UpstreamOrder::Renew(order) => order.target.fencing_token,
    }
}

/// Guards against a start that is meant for an earlier life of its upstream: it was sent although
/// the upstream had restarted while the start waited for its record.
#[test]
fn start_for_an_earlier_life_is_not_sent() {
    for restarts in [false, true] {
        let mut pool = pool(1);
        pool.batch_delay_ms = NEVER_MS;
        pool.submit("a", "plain", vec![step(1, 500, 1, false)]);
        pool.run_for(PLACED_MS);
        let mut owner = pool.owner.take().expect("an owner");
        if restarts {
            report_restart(&mut owner);
        }
        owner.on_durable(u64::MAX);
        let orders = act(&mut owner, pool.now_ms);
        let is_start = |order: &UpstreamOrder| matches!(order, UpstreamOrder::Start(_));
        assert_eq!(!orders.iter().any(is_start), restarts, "{orders:?}");
        let newest = owner.upstreams()[0].target(owner.term());
        let newest = newest.expect("an address").fencing_token;
        assert!(orders.iter().all(|order| token(order) == newest));
    }
}

/// Guards against a pool without an owner: an upstream restarted, the owner's own newer token was
/// there first, its answer was lost, and the owner took the refusal of an older token for the proof of
/// a later owner.
#[test]
fn own_newer_token_does_not_end_the_term() {
    // The owner learns of the restart by its next renewal; the start goes out at about that time.
    for batch_delay_ms in (80..200).step_by(10) {
        for seed in 0..SEEDS {
            let mut pool = pool(seed);
            pool.batch_delay_ms = batch_delay_ms;
            pool.submit("a", "plain", vec![step(1, 500, 1, false)]);
            pool.run_for(PLACED_MS);
            pool.crash(0, true);
            pool.fault_rates.response_lost = RESPONSE_LOST;
            for _ in 0..100 {
                pool.step();
                let owner = pool.owner.as_ref().expect("an owner");
                assert!(
                    !owner.is_superseded(),
                    "seed {seed}, record after {batch_delay_ms} ms: {:#?}",
                    pool.trace_of("a.0.0.0")
                );
            }
            pool.fault_rates.response_lost = 0;
            pool.run_for(10_000);
            assert_eq!(pool.phase("a"), JobPhase::Completed, "seed {seed}");
            assert!(pool.violations.is_empty(), "{:#?}", pool.violations);
        }
    }
}

/// Kind of an order that an upstream refuses for its token.
#[derive(Clone, Copy, Debug)]
enum OrderKind {
    Start,
    Stop,
    Renew,
}

struct FenceCase {
    kind: OrderKind,
    /// Whether the owner learns of a later life after the order was sent.
    restarts: bool,
    /// Whether the refusal proves a later owner.
    superseded: bool,
}

/// Guards against two owners at once, and against a pool without one: the refusal of the newest token
/// ends the term, that of an older one does not.
#[test]
fn only_the_refusal_of_the_newest_token_ends_the_term() {
    for kind in [OrderKind::Start, OrderKind::Stop, OrderKind::Renew] {
        let cases = [
            FenceCase {
                kind,
                restarts: false,
                superseded: true,
            },
            FenceCase {
                kind,
                restarts: true,
                superseded: false,
            },
        ];
        cases.iter().for_each(check_fence);
    }
}

fn check_fence(case: &FenceCase) {
    let mut pool = pool(1);
    pool.batch_delay_ms = NEVER_MS;
    pool.submit("a", "plain", vec![step(1, 500, 1, false)]);
    pool.run_for(PLACED_MS);
    let mut owner = pool.owner.take().expect("an owner");
    owner.on_durable(u64::MAX);
    let orders = act(&mut owner, pool.now_ms);
    let start = orders.iter().find_map(|order| match order {
        UpstreamOrder::Start(order) => Some(order.clone()),
        _ => None,
    });
    let start = start.expect("a start");
    if case.restarts {
        report_restart(&mut owner);
    }
    refuse(&mut owner, case.kind, start);
    let superseded = owner.is_superseded();
    assert_eq!(superseded, case.superseded, "{:?}", case.kind);
}

/// Lets an upstream refuse the token of a start, or of another order for the same run.
fn refuse(owner: &mut PoolOwner, kind: OrderKind, start: StartOrder) {
    match kind {
        OrderKind::Start => owner.on_started(&start, StartOutcome::Refused(StartRefusal::Fenced)),
        OrderKind::Stop => {
            let stop = StopOrder {
                target: start.target,
                task: start.task,
                run: start.run,
            };
            owner.on_stopped(&stop, Err(OrderFailure::Fenced));
        }
        OrderKind::Renew => {
            let renew = RenewOrder {
                target: start.target,
                lease_until_ms: None,
                recorded_up_to: 0,
                wait_ms: 0,
            };
            owner.on_renewed(&renew, Err(OrderFailure::Fenced));
        }
    }
}
