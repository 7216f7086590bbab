//! A pool owner whose upstreams answer at once, in virtual time: for counting the work of single events
//! in pools of any size.

use std::net::SocketAddr;
use std::rc::Rc;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::clock::HostTime;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::{JobPhase, JobRecord};
use hemlockramp::work::model::spec::{StepSpec, WorkSpec};
use hemlockramp::work::model::upstream::{
    EndKind, EndedTask, OrderFailure, RenewOrder, RenewReply, RunningTask, StartOrder,
    StartOutcome, UpstreamReport,
};
use hemlockramp::work::owner::{PoolOwner, UpstreamOrder};

use super::pool_sim::{TIMING, config, name};

/// Upstreams in a rack.
const RACK_SIZE: usize = 20;
/// Time at the start, in ms.
const START_MS: u64 = 1_000_000;
/// Time between two turns, in ms.
const TURN_MS: u64 = 10;
/// The upstreams' clocks at the start, in ms.
const CLOCK_MS: u64 = 500_000;

/// An upstream that holds each renewal open until it is told to answer.
struct OpenUpstream {
    name: ObjectName,
    running: Vec<RunningTask>,
    renewal: Option<RenewOrder>,
    last_end: u64,
    ended: Vec<EndedTask>,
}

/// The owner of a pool of upstreams that work until they are told to end a run.
pub struct AnsweringPool {
    pub owner: PoolOwner,
    pub now_ms: u64,
    /// An upstream that answers only when it is told to, also if it should do so at once.
    pub hesitant: Option<usize>,
    upstreams: Vec<OpenUpstream>,
}

impl AnsweringPool {
    pub fn new(count: usize) -> Self {
        let now_ms = START_MS;
        let mut owner = PoolOwner::new(1, TIMING, Rc::new(config()), time(now_ms));
        let mut upstreams = Vec::new();
        for index in 0..count {
            let report = report(index);
            upstreams.push(OpenUpstream {
                name: report.name.clone(),
                running: Vec::new(),
                renewal: None,
                last_end: 0,
                ended: Vec::new(),
            });
            owner.on_report(report);
        }
        Self {
            owner,
            now_ms,
            hesitant: None,
            upstreams,
        }
    }

    pub fn submit(&mut self, id: &str, queue: &str, steps: Vec<StepSpec>) {
        let rule = config().rule(&name(queue)).expect("a queue").clone();
        let record = Rc::new(JobRecord {
            team: Some(name("team")),
            queue: name(queue),
            config_version: 1,
            rule,
            accepted_ms: self.now_ms,
            spec: WorkSpec {
                payload: "p".into(),
                steps,
                repeat: None,
            },
        });
        self.owner.add_job(&name(id), record, JobPhase::Queued, &[]);
    }

    /// Lets time pass and the owner do what is due.
    pub fn turn(&mut self) {
        self.tick();
        self.deliver();
        if let Some(batch) = self.owner.take_batch() {
            self.owner.on_durable(batch.number);
            self.owner.drop_rows(batch.finished);
        }
        self.deliver();
    }

    /// Lets time pass and the owner tick.
    pub fn tick(&mut self) {
        self.now_ms += TURN_MS;
        self.owner.tick(time(self.now_ms));
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while self.now_ms < until_ms {
            self.turn();
        }
    }

    /// Returns the upstreams with runs, by index.
    pub fn busy(&self) -> Vec<usize> {
        let all = 0..self.upstreams.len();
        all.filter(|&index| !self.upstreams[index].running.is_empty())
            .collect()
    }

    pub fn runs(&self, upstream: usize) -> usize {
        self.upstreams[upstream].running.len()
    }

    /// Adds to the progress of all runs.
    pub fn advance(&mut self, percent: u32) {
        for upstream in &mut self.upstreams {
            for run in &mut upstream.running {
                run.percent = (run.percent + percent).min(99);
            }
        }
    }

    /// Ends the first run on an upstream; the next answer tells of it.
    pub fn end_run(&mut self, upstream: usize, kind: EndKind) {
        let upstream = &mut self.upstreams[upstream];
        let run = upstream.running.remove(0);
        upstream.last_end += 1;
        upstream.ended.push(EndedTask {
            number: upstream.last_end,
            task: run.task,
            run: run.run,
            kind,
            checkpoint: "".into(),
        });
    }

    /// Lets an upstream answer its open renewal. Returns whether there was one.
    pub fn answer(&mut self, index: usize) -> bool {
        let clock_ms = self.clock_ms();
        let upstream = &mut self.upstreams[index];
        let Some(order) = upstream.renewal.take() else {
            return false;
        };
        upstream
            .ended
            .retain(|end| end.number > order.recorded_up_to);
        let reply = RenewReply {
            incarnation: 1,
            clock_ms,
            running: upstream.running.clone(),
            ended: upstream.ended.clone(),
            ended_is_partial: false,
        };
        self.owner.set_time(time(self.now_ms));
        self.owner.on_renewed(&order, Ok(reply));
        true
    }

    /// Leaves the open renewal of an upstream without an answer. Returns whether there was one.
    pub fn miss(&mut self, index: usize) -> bool {
        let Some(order) = self.upstreams[index].renewal.take() else {
            return false;
        };
        self.owner.set_time(time(self.now_ms));
        self.owner.on_renewed(&order, Err(OrderFailure::Silent));
        true
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_MS + self.now_ms - START_MS
    }

    fn deliver(&mut self) {
        for order in self.owner.take_orders() {
            match order {
                UpstreamOrder::Start(order) => self.start(order),
                UpstreamOrder::Renew(order) => {
                    let index = self.index(&order.target.upstream);
                    let at_once = order.wait_ms == 0 && self.hesitant != Some(index);
                    self.upstreams[index].renewal = Some(order);
                    if at_once {
                        self.answer(index);
                    }
                }
                UpstreamOrder::Stop(_) => {}
            }
        }
    }

    fn start(&mut self, order: StartOrder) {
        let index = self.index(&order.target.upstream);
        self.upstreams[index].running.push(RunningTask {
            task: order.task.clone(),
            run: order.run,
            checkpoint: "".into(),
            percent: 0,
        });
        let clock_ms = self.clock_ms();
        self.owner
            .on_started(&order, StartOutcome::Started { clock_ms });
    }

    fn index(&self, name: &ObjectName) -> usize {
        let found = self.upstreams.binary_search_by(|one| one.name.cmp(name));
        found.expect("a known upstream")
    }
}

fn time(now_ms: u64) -> HostTime {
    HostTime {
        steady_ms: now_ms,
        wall_ms: now_ms,
    }
}

fn report(index: usize) -> UpstreamReport {
    let rack = name(&format!("r{}", index / RACK_SIZE));
    UpstreamReport {
        name: name(&format!("i-80647089{index:04}")),
        pool: name("pool"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        domain: name("domain"),
        labels: vec![name("kind"), rack.clone()],
        rack: Some(rack),
        capacity: ResourceAmount {
            cpu_milli: 64_000,
            memory_mb: 128_000,
            accelerators: 8,
        },
        draining: false,
        remaining_ms: None,
        clock_ms: CLOCK_MS,
        incarnation: 1,
    }
}
