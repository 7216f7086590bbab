//! Upstreams whose runs all end at once, and a count of the ends that the owner handles.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::clock::steady_ms;
use hemlockramp::work::model::task_ref::TaskRef;
use hemlockramp::work::model::upstream::{
    EndKind, EndedTask, OrderFailure, RenewOrder, RenewReply, RunningTask, StartOrder,
    StartOutcome, StopOrder,
};
use hemlockramp::work::ports::OrderPort;
use tokio::sync::Notify;

/// What the owner logs for each end that it handles.
const END_MESSAGE: &str = "owner: a run has ended.";

/// A logger that counts the ends that the owner handles, and makes each of them take some time.
pub struct EndCounter {
    ends: AtomicU64,
    cost_ms: AtomicU64,
}

impl EndCounter {
    pub const fn new() -> Self {
        Self {
            ends: AtomicU64::new(0),
            cost_ms: AtomicU64::new(0),
        }
    }

    /// Lets each end keep the thread for this long.
    pub fn set_cost(&self, cost_ms: u64) {
        self.cost_ms.store(cost_ms, Ordering::Relaxed);
    }

    pub fn ends(&self) -> u64 {
        self.ends.load(Ordering::Relaxed)
    }
}

impl log::Log for EndCounter {
    fn enabled(&self, _metadata: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        if record.args().as_str() != Some(END_MESSAGE) {
            return;
        }
        self.ends.fetch_add(1, Ordering::Relaxed);
        let cost_ms = self.cost_ms.load(Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(cost_ms));
    }

    fn flush(&self) {}
}

/// An upstream with one run.
#[derive(Clone, Debug)]
struct CrowdedUpstream {
    name: ObjectName,
    task: TaskRef,
    /// End of the lease on its clock, in ms; 0 before the first renewal.
    lease_until_ms: u64,
    acknowledged: bool,
}

#[derive(Default)]
struct CrowdState {
    /// Sorted by name.
    upstreams: RefCell<Vec<CrowdedUpstream>>,
    ended: Cell<bool>,
    end: Notify,
    started_ms: Cell<u64>,
    starts: Cell<usize>,
    lapsed: Cell<usize>,
}

/// Client of upstreams whose runs all end when the test says so. Clones share their state.
#[derive(Clone, Default)]
pub struct CrowdedPool {
    state: Rc<CrowdState>,
}

impl CrowdedPool {
    /// Creates the upstreams, each with its run, sorted by name. Their clocks begin now.
    pub fn new(runs: impl IntoIterator<Item = (ObjectName, TaskRef)>) -> Self {
        let pool = Self::default();
        pool.state.started_ms.set(steady_ms());
        pool.state
            .upstreams
            .borrow_mut()
            .extend(runs.into_iter().map(|(name, task)| CrowdedUpstream {
                name,
                task,
                lease_until_ms: 0,
                acknowledged: false,
            }));
        pool
    }

    fn clock_ms(&self) -> u64 {
        steady_ms() - self.state.started_ms.get()
    }

    /// Ends all runs.
    pub fn end_all(&self) {
        self.state.ended.set(true);
        self.state.end.notify_waiters();
    }

    /// Returns the number of upstreams that were told to hold their leases.
    pub fn leased(&self) -> usize {
        let upstreams = self.state.upstreams.borrow();
        upstreams
            .iter()
            .filter(|one| one.lease_until_ms > 0)
            .count()
    }

    /// Returns the number of ends that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        let upstreams = self.state.upstreams.borrow();
        upstreams.iter().filter(|one| one.acknowledged).count()
    }

    /// Returns the number of renewals that came after the end of a lease on a run whose end was not
    /// acknowledged.
    pub fn lapsed(&self) -> usize {
        self.state.lapsed.get()
    }

    /// Returns the number of runs that were started.
    pub fn starts(&self) -> usize {
        self.state.starts.get()
    }

    /// Applies a renewal on its arrival.
    fn hold(&self, order: &RenewOrder) {
        let clock_ms = self.clock_ms();
        let mut upstreams = self.state.upstreams.borrow_mut();
        let index = upstreams.binary_search_by(|one| one.name.cmp(&order.target.upstream));
        let upstream = &mut upstreams[index.expect("an upstream of the pool")];
        let until_ms = upstream.lease_until_ms;
        if until_ms > 0 && until_ms < clock_ms && !upstream.acknowledged {
            self.state.lapsed.set(self.state.lapsed.get() + 1);
        }
        upstream.lease_until_ms = until_ms.max(order.lease_until_ms.unwrap_or(0));
        upstream.acknowledged |= order.recorded_up_to > 0;
    }

    fn reply(&self, order: &RenewOrder) -> RenewReply {
        let upstreams = self.state.upstreams.borrow();
        let index = upstreams.binary_search_by(|one| one.name.cmp(&order.target.upstream));
        let upstream = &upstreams[index.expect("an upstream of the pool")];
        let task = upstream.task.clone();
        let mut reply = RenewReply {
            incarnation: 1,
            clock_ms: self.clock_ms(),
            ..RenewReply::default()
        };
        match (self.state.ended.get(), upstream.acknowledged) {
            (false, _) => reply.running.push(RunningTask {
                task,
                run: 1,
                checkpoint: "".into(),
                percent: 50,
            }),
            (true, false) => reply.ended.push(EndedTask {
                number: 1,
                task,
                run: 1,
                kind: EndKind::Done,
                checkpoint: "".into(),
            }),
            (true, true) => {}
        }
        reply
    }
}

impl OrderPort for CrowdedPool {
    async fn start(&self, _order: &StartOrder) -> StartOutcome {
        self.state.starts.set(self.state.starts.get() + 1);
        StartOutcome::Unknown
    }

    async fn stop(&self, _order: &StopOrder) -> Result<u64, OrderFailure> {
        Ok(self.clock_ms())
    }

    async fn renew(&self, order: &RenewOrder) -> Result<RenewReply, OrderFailure> {
        self.hold(order);
        if !self.state.ended.get() {
            let wait = Duration::from_millis(order.wait_ms);
            // Both the end and the timeout lead to an answer.
            let _ = tokio::time::timeout(wait, self.state.end.notified()).await;
        }
        Ok(self.reply(order))
    }
}
