//! What is known of the speed of a pool's upstreams.

use std::cell::Cell;

use crate::tables::name::ObjectName;
use crate::work::model::speed_record::{SpeedRecord, speed_row_number};
use crate::work::placing::slowdown::UpstreamSlowdown;
use crate::work::placing::speed::CELLS;
use crate::work::placing::speed::bias::{LogEstimate, QueueBias};
use crate::work::placing::speed::curve::EvidenceCurve;
use crate::work::placing::speed::distribution::SlownessDistribution;
use crate::work::placing::speed::sample::RunSample;

/// Time after which evidence counts half, in ms.
const HALF_LIFE_MS: f64 = 40_000.0;
/// Number of upstreams that the assumption on the classes counts for.
const CLASSES_WEIGHT: f64 = 8.0;
/// Evidence from which an upstream counts for the classes.
const EVIDENCE_MIN: f32 = 0.7;
/// Shortest time between two estimates of the classes, in ms.
const CLASSES_INTERVAL_MS: u64 = 500;
/// Change of a logarithmic mean that is stored.
const STORED_MEAN_TOLERANCE: f64 = 0.2;
/// Decrease of a logarithmic deviation that is stored.
const STORED_DEVIATION_TOLERANCE: f64 = 0.15;
/// Queues whose bias is kept; those seen first.
const QUEUES_MAX: usize = 256;

/// A step of a job.
pub type StepKey = (ObjectName, u32);

/// What the runs in progress of one step show of an upstream.
#[derive(Clone, Debug)]
pub struct StepEvidence {
    /// The step.
    pub step: StepKey,
    /// What one of its runs shows.
    pub curve: EvidenceCurve,
}

/// What is known of all members of a gang together.
#[derive(Clone, Debug, PartialEq)]
pub struct GangSpeed(
    /// Sums of the members' logarithms, each of the probability of a cell or a lower one.
    [f64; CELLS],
);

/// What is known of one upstream.
#[derive(Clone, Debug)]
struct UpstreamSpeed {
    name: ObjectName,
    /// Incarnation that the evidence is of; 0 if unknown.
    incarnation: u64,
    /// Evidence of runs that have ended.
    settled: EvidenceCurve,
    /// When `settled` changed last, steady ms.
    settled_ms: u64,
    /// Evidence of the runs in progress.
    live: Vec<StepEvidence>,
    /// Slowness by `settled` alone.
    slowdown_settled: UpstreamSlowdown,
    /// Logarithm of the probability of each cell or a lower one, by `settled` alone.
    settled_logs: [f64; CELLS],
    /// Slowness by all evidence.
    slowdown: UpstreamSlowdown,
    /// Slowness by `settled` when it was stored last.
    stored: UpstreamSlowdown,
}

impl UpstreamSpeed {
    fn estimate(&mut self, classes: &SlownessDistribution) {
        let settled = self.settled.applied_to(classes);
        self.slowdown_settled = settled.slowdown();
        self.settled_logs = settled.log_cumulative();
        self.slowdown = self.evidence(None).applied_to(classes).slowdown();
    }

    /// Returns the evidence of all runs but those in progress of one step. A step's bias must not
    /// rest on what its own runs were taken to show; nor on older runs only, since its upstreams
    /// may have been chosen by the newer ones.
    fn evidence(&self, without: Option<&StepKey>) -> EvidenceCurve {
        let others = self.live.iter().filter(|one| Some(&one.step) != without);
        let live = others.fold(EvidenceCurve::default(), |sum, one| sum.plus(&one.curve));
        self.settled.updated_by(&live)
    }

    fn is_outdated(&self) -> bool {
        let (now, stored) = (self.slowdown_settled, self.stored);
        let moved = (now.log_mean() - stored.log_mean()).abs() > STORED_MEAN_TOLERANCE;
        let narrowed = stored.deviation() - now.deviation() > STORED_DEVIATION_TOLERANCE;
        self.settled.weight() >= EVIDENCE_MIN && (moved || narrowed)
    }
}

/// Speed of upstreams and bias of queues. Its size is bounded by the number of upstreams and queues.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    /// How slowness is distributed over the pool.
    classes: SlownessDistribution,
    /// Logarithm of the probability of each cell or a lower one; none before the first estimate.
    classes_logs: Option<[f64; CELLS]>,
    classes_ms: u64,
    /// Sorted by name.
    upstreams: Vec<UpstreamSpeed>,
    /// Sorted by name.
    queues: Vec<QueueBias>,
    /// Upstreams read to find the slowest of several.
    reads: Cell<usize>,
}

impl SpeedTable {
    /// Returns the slowness of an upstream.
    pub fn slowdown(&self, name: &ObjectName) -> UpstreamSlowdown {
        match self.find(name) {
            Ok(index) => self.upstreams[index].slowdown,
            Err(_) => self.classes.slowdown(),
        }
    }

    /// Returns the bias to expect of a queue's steps.
    pub fn expected_bias(&self, queue: &ObjectName) -> LogEstimate {
        match self.queues.binary_search_by(|row| row.queue.cmp(queue)) {
            Ok(index) => self.queues[index].expected(),
            Err(_) => QueueBias::new(queue.clone()).expected(),
        }
    }

    /// Adds the bias of a step that is done.
    pub fn add_step(&mut self, queue: &ObjectName, bias: &LogEstimate) {
        let index = match self.queues.binary_search_by(|row| row.queue.cmp(queue)) {
            Ok(index) => index,
            Err(_) if self.queues.len() >= QUEUES_MAX => return,
            Err(index) => {
                self.queues.insert(index, QueueBias::new(queue.clone()));
                index
            }
        };
        self.queues[index].add_step(bias);
    }

    /// Returns the bias of a step with the sample of one more run on these upstreams.
    pub fn refined_bias(
        &self,
        bias: &LogEstimate,
        sample: RunSample,
        step: &StepKey,
        members: &[ObjectName],
    ) -> LogEstimate {
        let slowest = self.slowest(step, members).slowdown();
        let variance = sample.variance + slowest.deviation().powi(2);
        bias.with(sample.log_ratio - slowest.log_mean(), variance)
    }

    /// Returns what a run shows of one of its members. `bias` is that of the step without this run.
    pub fn evidence(
        &self,
        sample: RunSample,
        bias: &LogEstimate,
        step: &StepKey,
        members: &[ObjectName],
        member: usize,
    ) -> EvidenceCurve {
        if members.len() <= 1 {
            return EvidenceCurve::of_run(sample, bias, None);
        }
        let mut others = members.to_vec();
        others.swap_remove(member);
        EvidenceCurve::of_run(sample, bias, Some(&self.slowest(step, &others)))
    }

    /// Returns what is known of all members of a gang together.
    pub fn gang_speed(&self, members: &[ObjectName]) -> GangSpeed {
        GangSpeed(self.summed_logs(members))
    }

    /// Returns what a gang's run shows of one of its members, as `evidence` does. `gang` is what is
    /// known of all members, so that the others need not be read again for each of them.
    pub fn gang_evidence(
        &self,
        sample: RunSample,
        bias: &LogEstimate,
        gang: &GangSpeed,
        member: &ObjectName,
    ) -> EvidenceCurve {
        self.reads.set(self.reads.get() + 1);
        let own = self.settled_logs(member);
        // What is known of the member may have changed since it was added.
        let others = std::array::from_fn(|cell| (gang.0[cell] - own[cell]).min(0.0));
        let slowest = SlownessDistribution::of_largest(&others);
        EvidenceCurve::of_run(sample, bias, Some(&slowest))
    }

    /// Adds the evidence of a run that has ended.
    pub fn settle(&mut self, name: &ObjectName, evidence: &EvidenceCurve, now_ms: u64) {
        let classes = self.classes.clone();
        let row = self.row(name);
        let age_ms = now_ms.saturating_sub(row.settled_ms) as f64;
        let faded = row.settled.faded((-age_ms / HALF_LIFE_MS).exp2() as f32);
        row.settled = faded.updated_by(evidence).bounded();
        row.settled_ms = now_ms;
        row.estimate(&classes);
    }

    /// Replaces the evidence of the runs in progress on an upstream.
    pub fn set_live(&mut self, name: &ObjectName, evidence: Vec<StepEvidence>) {
        let classes = self.classes.clone();
        let row = self.row(name);
        row.live = evidence;
        row.estimate(&classes);
    }

    /// Notes the incarnation of an upstream. What was learned of an earlier one is dropped, since a
    /// later life may be of another kind.
    pub fn set_incarnation(&mut self, name: &ObjectName, incarnation: u64) {
        let Ok(index) = self.find(name) else { return };
        let row = &mut self.upstreams[index];
        if row.incarnation != 0 && row.incarnation != incarnation {
            self.upstreams.remove(index);
            return;
        }
        row.incarnation = incarnation;
    }

    /// Returns the number of upstreams of which something is known.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Drops what is known of upstreams that are gone.
    pub fn retain(&mut self, is_kept: impl Fn(&ObjectName) -> bool) {
        self.upstreams.retain(|row| is_kept(&row.name));
    }

    /// Estimates the classes of speed anew, if that is due. Returns whether it was.
    pub fn estimate_classes(&mut self, now_ms: u64) -> bool {
        if now_ms < self.classes_ms + CLASSES_INTERVAL_MS {
            return false;
        }
        self.classes_ms = now_ms;
        let assumed = SlownessDistribution::default();
        let mut shares = assumed.0.map(|share| CLASSES_WEIGHT * f64::from(share));
        for row in &self.upstreams {
            let all = row.evidence(None);
            if all.weight() >= EVIDENCE_MIN {
                let own = all.applied_to(&self.classes);
                (0..CELLS).for_each(|cell| shares[cell] += f64::from(own.0[cell]));
            }
        }
        self.classes = SlownessDistribution::normalized(|cell| shares[cell]).with_any();
        self.classes_logs = Some(self.classes.log_cumulative());
        for row in &mut self.upstreams {
            row.estimate(&self.classes);
        }
        true
    }

    /// Returns how many upstreams were read to find the slowest of several, since the last call.
    pub fn take_reads(&self) -> usize {
        self.reads.take()
    }

    /// Returns the deviation of slowness over the pool.
    pub fn pool_deviation(&self) -> f64 {
        self.classes.slowdown().deviation()
    }

    /// Returns the numbers of the stored rows that differ enough from what is known now.
    pub fn outdated_rows(&self) -> Vec<u64> {
        let outdated = self.upstreams.iter().filter(|row| row.is_outdated());
        let mut numbers: Vec<u64> = outdated.map(|row| speed_row_number(&row.name)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// Returns the records of the row with this number, which count as stored from now on.
    pub fn take_row(&mut self, number: u64) -> Vec<SpeedRecord> {
        let mut records = Vec::new();
        for row in &mut self.upstreams {
            if speed_row_number(&row.name) != number {
                continue;
            }
            row.stored = row.slowdown_settled;
            if row.settled.weight() >= EVIDENCE_MIN {
                records.push(SpeedRecord {
                    name: row.name.clone(),
                    incarnation: row.incarnation,
                    evidence: row.settled.to_digits(),
                });
            }
        }
        records
    }

    /// Restores the speeds that an earlier owner stored.
    pub fn restore(&mut self, rows: &[SpeedRecord], now_ms: u64) {
        for stored in rows {
            let row = self.row(&stored.name);
            row.incarnation = stored.incarnation;
            row.settled = EvidenceCurve::of_digits(&stored.evidence);
            row.settled_ms = now_ms;
        }
        self.classes_ms = 0;
        let classes = self.classes.clone();
        self.upstreams
            .iter_mut()
            .for_each(|row| row.estimate(&classes));
    }

    /// Returns the distribution of the slowest of several upstreams, by all runs but those in
    /// progress of one step.
    fn slowest(&self, step: &StepKey, members: &[ObjectName]) -> SlownessDistribution {
        if let [only] = members {
            self.reads.set(self.reads.get() + 1);
            return self.without(step, only);
        }
        SlownessDistribution::of_largest(&self.summed_logs(members))
    }

    fn summed_logs(&self, members: &[ObjectName]) -> [f64; CELLS] {
        self.reads.set(self.reads.get() + members.len());
        let mut sum = [0.0; CELLS];
        for member in members {
            let logs = self.settled_logs(member);
            (0..CELLS).for_each(|cell| sum[cell] += logs[cell]);
        }
        sum
    }

    /// Wide gangs ask for many upstreams at once, so this is kept ready.
    fn settled_logs(&self, name: &ObjectName) -> [f64; CELLS] {
        match self.find(name) {
            Ok(index) => self.upstreams[index].settled_logs,
            Err(_) => self
                .classes_logs
                .unwrap_or_else(|| self.classes.log_cumulative()),
        }
    }

    fn without(&self, step: &StepKey, name: &ObjectName) -> SlownessDistribution {
        match self.find(name) {
            Ok(index) => self.upstreams[index]
                .evidence(Some(step))
                .applied_to(&self.classes),
            Err(_) => self.classes.clone(),
        }
    }

    fn find(&self, name: &ObjectName) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|row| row.name.cmp(name))
    }

    fn row(&mut self, name: &ObjectName) -> &mut UpstreamSpeed {
        let index = match self.find(name) {
            Ok(index) => index,
            Err(index) => {
                let row = UpstreamSpeed {
                    name: name.clone(),
                    incarnation: 0,
                    settled: EvidenceCurve::default(),
                    settled_ms: 0,
                    live: Vec::new(),
                    settled_logs: self.classes.log_cumulative(),
                    slowdown_settled: self.classes.slowdown(),
                    slowdown: self.classes.slowdown(),
                    stored: SlownessDistribution::default().slowdown(),
                };
                self.upstreams.insert(index, row);
                index
            }
        };
        &mut self.upstreams[index]
    }
}
