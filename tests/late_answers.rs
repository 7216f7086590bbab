//! Tests of answers that waited for the owner: what rests on their arrival, and which are put off.

mod support;

use hemlockramp::work::clock::HostTime;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::upstream::{
    EndKind, EndedTask, OrderFailure, RenewOrder, RenewReply, RunningTask, StartOrder, StartOutcome,
};
use hemlockramp::work::owner::{PoolOwner, UpstreamOrder};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::pool_sim::{PoolSim, step};

/// Time in which the owner places a job and sends its first orders, in ms.
const PLACED_MS: u64 = 100;
/// Time after the renewal at which its answer is handled, in ms.
const HANDLED_MS: u64 = 1_000;
/// Parts by which an upstream's clock may run slow, in thousandths.
const DRIFT_PER_MILLE: u64 = 20;

/// An owner with a run on its only upstream, and the renewal that is in flight.
struct RunningPool {
    owner: PoolOwner,
    start: StartOrder,
    renewal: RenewOrder,
    now_ms: u64,
    lease_ms: u64,
}

fn time(now_ms: u64) -> HostTime {
    HostTime {
        steady_ms: now_ms,
        wall_ms: now_ms,
    }
}

fn renewal_of(orders: &[UpstreamOrder]) -> Option<RenewOrder> {
    orders.iter().find_map(|order| match order {
        UpstreamOrder::Renew(order) => Some(order.clone()),
        _ => None,
    })
}

impl RunningPool {
    fn new() -> Self {
        let capacity = ResourceAmount {
            cpu_milli: 64_000,
            memory_mb: 128_000,
            accelerators: 8,
        };
        let mut pool = PoolSim::new(ChaCha8Rng::seed_from_u64(1), 1, capacity);
        pool.take_over();
        pool.batch_delay_ms = 1_000_000;
        pool.submit("a", "plain", vec![step(1, 60_000, 1, false)]);
        pool.run_for(PLACED_MS);
        let now_ms = pool.now_ms + 1;
        let mut owner = pool.owner.take().expect("an owner");
        owner.on_durable(u64::MAX);
        let start = owner
            .take_orders()
            .into_iter()
            .find_map(|order| match order {
                UpstreamOrder::Start(order) => Some(order),
                _ => None,
            });
        let start = start.expect("a start");
        owner.set_time(time(now_ms));
        let clock_ms = owner.upstreams()[0].clock.expect("a reading").shown_ms;
        owner.on_started(&start, StartOutcome::Started { clock_ms });
        // Whatever was asked for before gets its answer.
        let earlier = RenewOrder {
            target: start.target.clone(),
            lease_until_ms: None,
            recorded_up_to: 0,
            wait_ms: 0,
        };
        let mut pool = Self {
            owner,
            start,
            renewal: earlier.clone(),
            now_ms,
            lease_ms: 0,
        };
        let reply = pool.reply(now_ms, false);
        pool.owner.on_renewed(&earlier, Ok(reply));
        pool.renewal = pool.act(now_ms).expect("a renewal");
        let clock = pool.owner.upstreams()[0].clock.expect("a reading");
        let until_ms = pool.renewal.lease_until_ms.expect("a lease");
        pool.lease_ms = until_ms - clock.lower_bound_ms(now_ms);
        pool
    }

    /// Lets the owner act; returns its renewal.
    fn act(&mut self, now_ms: u64) -> Option<RenewOrder> {
        self.owner.tick(time(now_ms));
        renewal_of(&self.owner.take_orders())
    }

    /// Lets the upstream begin a later life, of which a report tells.
    fn restart(&mut self) {
        let mut report = self.owner.upstreams()[0].report.clone().expect("a report");
        report.incarnation += 1;
        report.clock_ms = self.now_ms;
        self.owner.set_time(time(self.now_ms));
        self.owner.on_report(report);
        let reply = self.reply(self.now_ms, false);
        self.owner.on_renewed(&self.renewal, Ok(reply));
        self.renewal = self.act(self.now_ms).expect("a renewal");
    }

    /// The answer of the upstream at a time: its clock shows the owner's time.
    fn reply(&self, now_ms: u64, ended: bool) -> RenewReply {
        let mut reply = RenewReply {
            incarnation: self.owner.upstreams()[0].incarnation,
            clock_ms: now_ms,
            ..RenewReply::default()
        };
        let (task, run) = (self.start.task.clone(), self.start.run);
        match ended {
            true => reply.ended.push(EndedTask {
                number: 1,
                task,
                run,
                kind: EndKind::Done,
                checkpoint: "".into(),
            }),
            false => reply.running.push(RunningTask {
                task,
                run,
                checkpoint: "".into(),
                percent: 10,
            }),
        }
        reply
    }
}

struct AgeCase {
    name: &'static str,
    /// Time for which the answer waited before it was handled, in ms.
    waited_ms: u64,
    /// End that the next renewal acknowledges.
    acknowledged: u64,
}

/// Guards against ends that are lost: an acknowledgement is safe only right after the upstream has
/// answered, so that it doesn't reach a later life, and not right after the answer was handled.
#[test]
fn ends_are_acknowledged_only_right_after_the_arrival_of_an_answer() {
    let cases = [
        AgeCase {
            name: "handled at once",
            waited_ms: 0,
            acknowledged: 1,
        },
        AgeCase {
            name: "waited for a moment",
            waited_ms: 250,
            acknowledged: 1,
        },
        AgeCase {
            name: "waited for too long",
            waited_ms: 251,
            acknowledged: 0,
        },
    ];
    for case in cases {
        let mut pool = RunningPool::new();
        let now_ms = pool.now_ms + HANDLED_MS;
        let arrived_ms = now_ms - case.waited_ms;
        let reply = pool.reply(arrived_ms, true);
        pool.owner.set_answer_time(time(now_ms), arrived_ms);
        pool.owner.on_renewed(&pool.renewal, Ok(reply));
        pool.owner.on_durable(u64::MAX);
        let next = pool.act(now_ms).expect("a renewal");
        assert_eq!(next.recorded_up_to, case.acknowledged, "{}", case.name);
    }
}

struct LeaseCase {
    name: &'static str,
    waited_ms: u64,
}

/// Guards against leases that are shorter or longer than granted: the upstream's clock goes on while
/// its answer waits.
#[test]
fn readings_of_clocks_count_from_their_arrival() {
    let cases = [
        LeaseCase {
            name: "handled at once",
            waited_ms: 0,
        },
        LeaseCase {
            name: "waited",
            waited_ms: 500,
        },
    ];
    for case in cases {
        let mut pool = RunningPool::new();
        let now_ms = pool.now_ms + HANDLED_MS;
        let arrived_ms = now_ms - case.waited_ms;
        let reply = pool.reply(arrived_ms, false);
        pool.owner.set_answer_time(time(now_ms), arrived_ms);
        pool.owner.on_renewed(&pool.renewal, Ok(reply));
        let next = pool.act(now_ms).expect("a renewal");
        let slow_ms = case.waited_ms * DRIFT_PER_MILLE / 1_000;
        let until_ms = now_ms - slow_ms + pool.lease_ms;
        assert_eq!(next.lease_until_ms, Some(until_ms), "{}", case.name);
    }
}

struct LifeCase {
    name: &'static str,
    /// When a report of the known life arrives, in ms after the answer of the earlier one.
    report_after_ms: Option<u64>,
    /// Whether the answer is taken for that of a later life.
    restarts: u64,
}

/// Guards against a later life that is taken for over: an answer of the life before waited while a
/// report of the later one was read, and its clock showed less.
#[test]
fn answer_that_waited_proves_no_later_life() {
    let cases = [
        LifeCase {
            name: "clock set back, the life began after the known one",
            report_after_ms: None,
            restarts: 1,
        },
        LifeCase {
            name: "the known life was heard of later",
            report_after_ms: Some(100),
            restarts: 0,
        },
    ];
    for case in cases {
        let mut pool = RunningPool::new();
        pool.restart();
        let before = pool.owner.upstreams()[0].restarts;
        let now_ms = pool.now_ms + HANDLED_MS;
        let arrived_ms = now_ms - 500;
        if let Some(after_ms) = case.report_after_ms {
            let mut report = pool.owner.upstreams()[0].report.clone().expect("a report");
            report.clock_ms = arrived_ms + after_ms;
            pool.owner.set_time(time(arrived_ms + after_ms));
            pool.owner.on_report(report);
        }
        let mut reply = pool.reply(1, false);
        reply.incarnation -= 1;
        pool.owner.set_answer_time(time(now_ms), arrived_ms);
        pool.owner.on_renewed(&pool.renewal, Ok(reply));
        let restarts = pool.owner.upstreams()[0].restarts - before;
        assert_eq!(restarts, case.restarts, "{}", case.name);
    }
}

struct PutOffCase {
    name: &'static str,
    /// Renewals that went unanswered before.
    missed: bool,
    /// How much later than the known one the upstream's life is.
    later_life: u64,
    /// How much older the renewal's token is.
    older_token: u64,
    put_off: bool,
}

/// Guards against leases that lapse while an answer waits, and against one that is dropped although
/// it tells more than that the upstream is alive.
#[test]
fn lease_is_renewed_while_an_answer_waits() {
    let plain = PutOffCase {
        name: "plain answer",
        missed: false,
        later_life: 0,
        older_token: 0,
        put_off: true,
    };
    let cases = [
        PutOffCase {
            name: "later life",
            later_life: 1,
            put_off: false,
            ..plain
        },
        PutOffCase {
            name: "older token",
            older_token: 1,
            put_off: false,
            ..plain
        },
        PutOffCase {
            name: "answers again",
            missed: true,
            put_off: false,
            ..plain
        },
        plain,
    ];
    for case in cases {
        let mut pool = RunningPool::new();
        let mut now_ms = pool.now_ms + HANDLED_MS;
        if case.missed {
            pool.owner.set_time(time(now_ms));
            pool.owner
                .on_renewed(&pool.renewal, Err(OrderFailure::Silent));
            now_ms += HANDLED_MS;
            pool.renewal = pool.act(now_ms).expect("a renewal");
        }
        let mut reply = pool.reply(now_ms, true);
        reply.incarnation += case.later_life;
        pool.renewal.target.fencing_token -= case.older_token;
        pool.owner.set_answer_time(time(now_ms), now_ms);
        let put_off = pool.owner.put_off_renewal(&pool.renewal, &reply);
        assert_eq!(put_off, case.put_off, "{}", case.name);
        let next = pool.act(now_ms);
        assert_eq!(next.is_some(), case.put_off, "{}", case.name);
        let Some(next) = next else { continue };
        assert!(next.lease_until_ms.is_some(), "{}", case.name);
        // The end is listed again, and counts once.
        let reply = pool.reply(now_ms, true);
        pool.owner.on_renewed(&next, Ok(reply));
        assert!(pool.owner.upstreams()[0].held.is_empty(), "{}", case.name);
    }
}
