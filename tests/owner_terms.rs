//! Tests of the pool owner's fencing tokens: which of them a restarted upstream gets, and what a
//! refusal of one proves.

mod support;

use hemlockramp::work::amount::ResourceAmount;
use hemlockramp::work::clock::HostTime;
use hemlockramp::work::owner::{PoolOwner, UpstreamOrder};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, step};

/// Time in which the owner places a job and sends its first orders, in ms.
const PLACED_MS: u64 = 100;
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
