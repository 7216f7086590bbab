//! Simulates a workload: event loop that drives the journal fold and a planner.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlockramp::journal::fold::{FoldVerdict, JournalEntry};
use hemlockramp::journal::record::{JournalRecord, RecordBody, RecordId, TaskReport};
use hemlockramp::journal::state::FoldState;
use hemlockramp::systems::plan::plan;
use hemlockramp::systems::preemption::choose_guaranteed;
use hemlockramp::tables::cell::CellShape;
use hemlockramp::tables::job::{AttemptPhase, StopCause, TaskState};
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::ticket::TicketSpec;

use crate::replay::first_fit::plan_first_fit;
use crate::replay::measures::{
    FragmentationMeter, JobTimes, ReplayMeasures, measure_jobs, percentile,
};
use crate::replay::workload::{Deployment, WorkloadJob};

/// Time to prepare and start a gang, in ms.
const GANG_START_MS: u64 = 300;
/// Interval between planning rounds while jobs wait, in ms.
const ROUND_INTERVAL_MS: u64 = 30_000;
/// Delay from a change to the planning round that sees it, in ms.
const ROUND_DELAY_MS: u64 = 100;
/// Interval between checkpoints of a running job, in ms. The grace period of an eviction adds
/// none of its own; the run time in it counts like any other.
const CHECKPOINT_INTERVAL_MS: u64 = 600_000;
/// One job in this many cannot checkpoint; after an eviction it starts from the beginning.
const NO_CHECKPOINT_ONE_IN: usize = 4;
/// Longest time simulated after the last arrival, in ms.
const MAX_DRAIN_MS: u64 = 7 * 24 * 3_600_000;
/// Milliseconds per hour.
const HOUR_MS: f64 = 3_600_000.0;

/// Planner under simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayPlanner {
    /// Planner of the scheduler.
    Product,
    /// First-come-first-fit baseline.
    Naive,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Launch(usize, u32),
    Finish(usize, u32),
    Stopped(usize, u32),
    Round,
}

/// Simulated progress of a job, beyond what the tables record.
#[derive(Clone, Debug, Default)]
struct JobProgress {
    remaining_run_ms: u64,
    started_ms: Option<u64>,
    first_start_ms: Option<u64>,
    finished_ms: Option<u64>,
    /// Newest attempt whose launch was scheduled.
    launching: u32,
    /// Newest attempt whose stop was scheduled.
    stopping: u32,
}

struct Replay<'a> {
    deployment: &'a Deployment,
    jobs: &'a [WorkloadJob],
    planner: ReplayPlanner,
    state: FoldState,
    progress: Vec<JobProgress>,
    index: Vec<(ObjectName, usize)>,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
    now_ms: u64,
    round_at: Option<u64>,
    fragmentation: FragmentationMeter,
    measures: ReplayMeasures,
}

/// Simulates a workload and returns its measures. Deterministic: the same input gives the
/// same measures.
pub fn replay(
    deployment: &Deployment,
    jobs: &[WorkloadJob],
    planner: ReplayPlanner,
) -> ReplayMeasures {
    let mut run = Replay::new(deployment, jobs, planner);
    let last_ms = jobs.last().map_or(0, |job| job.at_ms) + MAX_DRAIN_MS;
    while let Some(Reverse((at_ms, event))) = run.queue.pop() {
        if at_ms > last_ms {
            break;
        }
        let arriving = run.now_ms <= last_ms - MAX_DRAIN_MS;
        if at_ms > run.now_ms && arriving {
            run.fragmentation.add(&run.state, at_ms - run.now_ms);
        }
        run.now_ms = at_ms;
        run.handle(event);
    }
    run.finish()
}

impl<'a> Replay<'a> {
    fn new(deployment: &'a Deployment, jobs: &'a [WorkloadJob], planner: ReplayPlanner) -> Self {
        let mut index: Vec<_> = jobs
            .iter()
            .map(|job| job.spec.id.clone())
            .zip(0..)
            .collect();
        index.sort();
        let mut run = Self {
            deployment,
            jobs,
            planner,
            state: FoldState::default(),
            progress: jobs
                .iter()
                .map(|job| JobProgress {
                    remaining_run_ms: job.run_ms,
                    ..JobProgress::default()
                })
                .collect(),
            index,
            queue: BinaryHeap::new(),
            now_ms: 0,
            round_at: None,
            fragmentation: FragmentationMeter::default(),
            measures: ReplayMeasures::default(),
        };
        for worker in deployment.worker_records() {
            run.append(RecordBody::Worker(worker));
        }
        let ticket = TicketSpec {
            number: 1,
            author: ObjectName::try_from("operator").expect("a name"),
            teams: deployment.team_specs(),
        };
        assert!(run.append(RecordBody::Ticket(ticket)), "the guarantees fit");
        for (number, job) in jobs.iter().enumerate() {
            run.queue.push(Reverse((job.at_ms, Event::Arrive(number))));
        }
        run
    }

    fn append(&mut self, body: RecordBody) -> bool {
        let offset = self.state.next_offset;
        let entry = JournalEntry {
            offset,
            at_ms: self.now_ms,
            record: Some(JournalRecord {
                id: RecordId {
                    boot: 1,
                    seq: offset + 1,
                },
                host: ObjectName::try_from("e0").expect("a name"),
                body,
            }),
        };
        self.state.apply(&entry).verdict == FoldVerdict::Accepted
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::Launch(number, attempt) => self.launch(number, attempt),
            Event::Finish(number, attempt) => self.end(number, attempt, TaskState::Finished),
            Event::Stopped(number, attempt) => self.end(number, attempt, TaskState::Stopped),
            Event::Round => self.run_round(),
        }
    }

    fn arrive(&mut self, number: usize) {
        let spec = self.jobs[number].spec.clone();
        assert!(self.append(RecordBody::Submit(spec)), "the job is taken");
        self.schedule_round(self.now_ms + ROUND_DELAY_MS);
    }

    fn schedule_round(&mut self, at_ms: u64) {
        if self.round_at.is_none_or(|at| at > at_ms) {
            self.round_at = Some(at_ms);
            self.queue.push(Reverse((at_ms, Event::Round)));
        }
    }

    fn run_round(&mut self) {
        if self.round_at != Some(self.now_ms) {
            return;
        }
        self.round_at = None;
        self.measures.rounds += 1;
        let records = match self.planner {
            ReplayPlanner::Product => {
                let result = plan(&self.state, self.now_ms, &self.deployment.policy);
                self.measures.searched += result.searched;
                result.records
            }
            ReplayPlanner::Naive => plan_first_fit(&self.state),
        };
        let full = records.len() >= self.deployment.policy.placements_per_tick;
        for record in records {
            assert!(self.append(record), "a planned record is taken");
        }
        self.schedule_changes();
        if !full && self.planner == ReplayPlanner::Product {
            self.count_unserved();
        }
        if full {
            self.schedule_round(self.now_ms + ROUND_DELAY_MS);
        } else if self.state.jobs.waiting().next().is_some() {
            self.schedule_round(self.now_ms + ROUND_INTERVAL_MS);
        }
    }

    /// Counts waiting jobs that their team's guarantee has capacity for, one per team, shape
    /// and count.
    fn count_unserved(&mut self) {
        let mut seen: Vec<(&ObjectName, CellShape, u32)> = Vec::new();
        let mut unserved = 0;
        for job in self.state.jobs.waiting() {
            let kind = (&job.spec.team, job.spec.shape, job.spec.count);
            if !seen.contains(&kind) {
                seen.push(kind);
                unserved += usize::from(choose_guaranteed(&self.state, job).is_some());
            }
        }
        self.measures.unserved_claims += unserved;
    }

    /// Schedules the launch of new attempts and the stop of reclaimed ones.
    fn schedule_changes(&mut self) {
        let grace_ms = self.deployment.policy.checkpoint_grace_ms;
        let mut events = Vec::new();
        for (job, attempt) in self.state.jobs.active() {
            let number = job_index(&self.index, &job.spec.id);
            let progress = &mut self.progress[number];
            match attempt.phase {
                AttemptPhase::Preparing if progress.launching < attempt.number => {
                    progress.launching = attempt.number;
                    events.push((
                        self.now_ms + GANG_START_MS,
                        Event::Launch(number, attempt.number),
                    ));
                }
                AttemptPhase::Stopping(StopCause::Reclaimed)
                    if progress.stopping < attempt.number =>
                {
                    progress.stopping = attempt.number;
                    events.push((
                        self.now_ms + grace_ms,
                        Event::Stopped(number, attempt.number),
                    ));
                }
                _ => {}
            }
        }
        events
            .into_iter()
            .for_each(|event| self.queue.push(Reverse(event)));
    }

    fn report(&mut self, number: usize, attempt: u32, state: TaskState) -> bool {
        let id = self.jobs[number].spec.id.clone();
        let row = self
            .state
            .attempt_of(&id)
            .filter(|row| row.number == attempt);
        let Some(tasks) = row.map(|row| row.tasks.len()) else {
            return false;
        };
        let reports = (0..tasks).map(|task| TaskReport {
            job: id.clone(),
            attempt,
            task: task as u16,
            state,
            ran_ms: 0,
        });
        let record = RecordBody::Tasks(reports.collect());
        self.append(record)
    }

    fn launch(&mut self, number: usize, attempt: u32) {
        let row = self.state.attempt_of(&self.jobs[number].spec.id);
        let row = row.filter(|row| row.phase == AttemptPhase::Preparing);
        let Some(row) = row else { return };
        if row.guaranteed {
            let delay_s = (self.now_ms - row.placed_ms) as f64 / 1_000.0;
            self.measures.reclaim_max_s = self.measures.reclaim_max_s.max(delay_s);
        }
        self.report(number, attempt, TaskState::Prepared);
        self.report(number, attempt, TaskState::Running);
        let progress = &mut self.progress[number];
        progress.started_ms = Some(self.now_ms);
        progress.first_start_ms.get_or_insert(self.now_ms);
        let end_ms = self.now_ms + progress.remaining_run_ms;
        self.queue
            .push(Reverse((end_ms, Event::Finish(number, attempt))));
    }

    fn end(&mut self, number: usize, attempt: u32, state: TaskState) {
        let id = &self.jobs[number].spec.id;
        let phase = self.state.attempt_of(id).map(|row| row.phase);
        let evicted = matches!(phase, Some(AttemptPhase::Stopping(_)));
        if state == TaskState::Finished && evicted {
            return;
        }
        if !self.report(number, attempt, state) {
            return;
        }
        match state {
            TaskState::Stopped => self.roll_back_to_checkpoint(number),
            _ => self.progress[number].finished_ms = Some(self.now_ms),
        }
        self.progress[number].started_ms = None;
        self.schedule_changes();
        self.schedule_round(self.now_ms + ROUND_DELAY_MS);
    }

    fn roll_back_to_checkpoint(&mut self, number: usize) {
        let progress = &mut self.progress[number];
        let Some(started_ms) = progress.started_ms else {
            return;
        };
        let ran_ms = self.now_ms - started_ms;
        self.measures.evictions += 1;
        let kept_ms = match number.is_multiple_of(NO_CHECKPOINT_ONE_IN) {
            true => 0,
            false => ran_ms - ran_ms % CHECKPOINT_INTERVAL_MS,
        };
        progress.remaining_run_ms = progress.remaining_run_ms.saturating_sub(kept_ms).max(1);
        let size = f64::from(self.jobs[number].spec.accelerators());
        self.measures.lost_hours += (ran_ms - kept_ms) as f64 / HOUR_MS * size;
    }

    fn finish(mut self) -> ReplayMeasures {
        let times = self
            .jobs
            .iter()
            .zip(&self.progress)
            .map(|(job, progress)| JobTimes {
                took_ms: progress.finished_ms.map(|at_ms| at_ms - job.at_ms),
                deadline_ms: job.spec.deadline_ms,
            });
        measure_jobs(&times.collect::<Vec<_>>(), &mut self.measures);
        self.measures.fragmentation = self.fragmentation.average();
        self.measures.records = self.state.next_offset;
        let mut urgent = Vec::new();
        for (job, progress) in self.jobs.iter().zip(&self.progress) {
            let started_ms = progress.first_start_ms.unwrap_or(u64::MAX);
            let delay_s = started_ms.saturating_sub(job.at_ms) as f64 / 1_000.0;
            if job.spec.urgent {
                urgent.push(delay_s);
            }
        }
        urgent.sort_by(f64::total_cmp);
        self.measures.urgent_p95_s = percentile(&urgent, 95);
        self.measures.urgent_max_s = urgent.last().copied().unwrap_or(0.0);
        self.measures
    }
}

fn job_index(index: &[(ObjectName, usize)], id: &ObjectName) -> usize {
    let found = index.binary_search_by(|(own, _)| own.cmp(id));
    index[found.expect("every job is of the stream")].1
}
