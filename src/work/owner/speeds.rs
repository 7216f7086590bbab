//! What the owner learns of the speed of upstreams from runs, and stores for a later owner.

use crate::tables::name::ObjectName;
use crate::work::model::speed_record::{SpeedRecord, encode_speed_row};
use crate::work::model::stream::KeyedValue;
use crate::work::model::upstream::EndKind;
use crate::work::owner::PoolOwner;
use crate::work::owner::step_bias::GangReading;
use crate::work::owner::unit_state::UnitPhase;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::speed::bias::LogEstimate;
use crate::work::placing::speed::curve::EvidenceCurve;
use crate::work::placing::speed::sample::RunSample;
use crate::work::placing::speed::table::{GangSpeed, StepEvidence, StepKey};

/// Shortest time between two looks at the runs in progress on an upstream, in ms.
const LIVE_INTERVAL_MS: u64 = 1_000;
/// Runs in progress on an upstream that are looked at; more tell little that is new.
const LIVE_RUNS_MAX: usize = 8;
/// Members from which a gang's speed is read for all of them together.
const WIDE_GANG_MIN: u32 = 3;
/// Shortest time between two estimates of a step's bias, and between two readings of a gang's speed, in
/// ms.
const BIAS_INTERVAL_MS: u64 = 500;
/// Shortest time between two batches with stored speeds, in ms.
const STORE_INTERVAL_MS: u64 = 3_000;
/// Upstreams that have left and whose speed is still kept, beyond as many as are listed.
const GONE_MAX: usize = 64;

impl PoolOwner {
    /// Takes over the speeds that an earlier owner stored. Call it after the upstreams' reports.
    pub fn restore_speeds(&mut self, records: &[SpeedRecord]) {
        self.speeds.restore(records, self.now.steady_ms);
        for upstream in &self.upstreams {
            if upstream.incarnation != 0 {
                self.speeds
                    .set_incarnation(&upstream.name, upstream.incarnation);
            }
        }
        log::info!(
            upstreams = self.speeds.len(), stored = records.len();
            "owner: the speeds of upstreams are known from an earlier owner."
        );
    }

    /// Looks at the runs in progress on an upstream that has answered.
    pub(super) fn look_at_progress(&mut self, name: &ObjectName) {
        let now_ms = self.now.steady_ms;
        let Some(index) = self.upstream_index(name) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        if upstream.next_sample_ms > now_ms {
            return;
        }
        upstream.next_sample_ms = now_ms + LIVE_INTERVAL_MS;
        let incarnation = upstream.incarnation;
        let live = self.live_evidence(index);
        self.counts
            .add(WorkKind::EvidenceStep, self.speeds.take_reads());
        self.speeds.set_live(name, live);
        self.speeds.set_incarnation(name, incarnation);
    }

    fn live_evidence(&mut self, index: usize) -> Vec<StepEvidence> {
        let mut evidence = Vec::new();
        for held in 0..self.upstreams[index].held.len() {
            if evidence.len() == LIVE_RUNS_MAX {
                break;
            }
            let held = &self.upstreams[index].held[held];
            let (unit, member) = (held.unit, held.member);
            let Some(job) = self.job_index(&held.job) else {
                continue;
            };
            let Some(sample) = self.progress_sample(job, unit) else {
                continue;
            };
            let bias = self.bias_beside(job, unit);
            let step = self.step_key(job, unit);
            let curve = if self.jobs[job].shapes[unit].count >= WIDE_GANG_MIN {
                let gang = self.current_gang_speed(job, unit);
                let name = &self.upstreams[index].name;
                self.speeds.gang_evidence(sample, &bias, &gang, name)
            } else {
                let members = self.run_upstreams(job, unit);
                self.speeds.evidence(sample, &bias, &step, &members, member)
            };
            evidence.push(StepEvidence { step, curve });
        }
        evidence
    }

    /// Returns what is known of a gang's members, read anew at intervals.
    fn current_gang_speed(&mut self, job: usize, unit: usize) -> GangSpeed {
        let now_ms = self.now.steady_ms;
        let run = self.jobs[job].units[unit].run;
        let step = self.jobs[job].shapes[unit].step as usize;
        let is_current = |read: &&GangReading| {
            (read.unit, read.run) == (unit, run) && now_ms < read.at_ms + BIAS_INTERVAL_MS
        };
        let known = self.jobs[job].biases[step].gang.as_ref();
        if let Some(read) = known.filter(is_current) {
            return read.speed.clone();
        }
        let speed = self.speeds.gang_speed(&self.run_upstreams(job, unit));
        self.jobs[job].biases[step].gang = Some(GangReading {
            unit,
            run,
            at_ms: now_ms,
            speed: speed.clone(),
        });
        speed
    }

    /// Returns what a run shows of each of its members.
    fn member_evidence(
        &self,
        sample: RunSample,
        bias: &LogEstimate,
        step: &StepKey,
        members: &[ObjectName],
    ) -> Vec<EvidenceCurve> {
        if members.len() >= WIDE_GANG_MIN as usize {
            let gang = self.speeds.gang_speed(members);
            let shown = members
                .iter()
                .map(|member| self.speeds.gang_evidence(sample, bias, &gang, member));
            return shown.collect();
        }
        (0..members.len())
            .map(|member| self.speeds.evidence(sample, bias, step, members, member))
            .collect()
    }

    /// Counts the time of a run that has ended, once for all its members.
    pub(super) fn count_run_time(&mut self, job: usize, unit: usize, kind: EndKind) {
        let now_ms = self.now.steady_ms;
        let state = &self.jobs[job].units[unit];
        if state.timed_run == state.run || state.phase == UnitPhase::Done {
            return;
        }
        let ended = (kind == EndKind::Done).then(|| self.end_sample(job, unit));
        let progress = self.progress_sample(job, unit);
        let Some(sample) = RunSample::better(progress, ended.flatten()) else {
            return;
        };
        let state = &mut self.jobs[job].units[unit];
        state.timed_run = state.run;
        let bias = self.bias_beside(job, unit);
        let members = self.run_upstreams(job, unit);
        let key = self.step_key(job, unit);
        let shown = self.member_evidence(sample, &bias, &key, &members);
        let step = self.jobs[job].shapes[unit].step as usize;
        let settled = self.settled_bias(job, step);
        let refined = self.speeds.refined_bias(&settled, sample, &key, &members);
        self.jobs[job].biases[step].settled = Some(refined);
        self.counts
            .add(WorkKind::EvidenceStep, self.speeds.take_reads());
        for (name, evidence) in members.iter().zip(&shown) {
            self.speeds.settle(name, evidence, now_ms);
            if let Some(index) = self.upstream_index(name) {
                self.upstreams[index].next_sample_ms = 0;
            }
        }
    }

    /// Adds the biases of a finished job's steps to that of its queue.
    pub(super) fn learn_queue_bias(&mut self, job: usize) {
        let state = &self.jobs[job];
        let queue = &state.record.queue;
        for settled in state.biases.iter().filter_map(|bias| bias.settled) {
            self.speeds.add_step(queue, &settled);
        }
    }

    /// Returns the rows of speeds to store, if some are due.
    pub(super) fn take_speed_rows(&mut self) -> Vec<KeyedValue> {
        let now_ms = self.now.steady_ms;
        if now_ms < self.next_speed_rows_ms {
            return Vec::new();
        }
        self.next_speed_rows_ms = now_ms + STORE_INTERVAL_MS;
        let numbers = self.speeds.outdated_rows();
        let encoded = numbers.iter().map(|&number| {
            let records = self.speeds.take_row(number);
            encode_speed_row(number, &records)
        });
        encoded.collect()
    }

    /// Estimates the classes of speed anew and drops what is known of upstreams that have left.
    pub(super) fn keep_speeds(&mut self) {
        let now_ms = self.now.steady_ms;
        if !self.speeds.estimate_classes(now_ms) {
            return;
        }
        let listed = self.upstreams.iter().filter(|upstream| upstream.listed);
        if self.speeds.len() > 2 * listed.count() + GONE_MAX {
            let upstreams = &self.upstreams;
            self.speeds.retain(|name| {
                let found = upstreams.binary_search_by(|one| one.name.cmp(name));
                found.is_ok_and(|index| upstreams[index].listed)
            });
        }
        metrics::gauge!("hemlockramp_upstreams_timed").set(self.speeds.len() as f64);
        metrics::gauge!("hemlockramp_upstream_speed_deviation").set(self.speeds.pool_deviation());
    }

    fn progress_sample(&self, job: usize, unit: usize) -> Option<RunSample> {
        if self.jobs[job].step(unit).lasting {
            return None;
        }
        let progress = self.jobs[job].units[unit].progress()?;
        RunSample::of_progress(progress, self.run_estimate_ms(job, unit))
    }

    fn end_sample(&self, job: usize, unit: usize) -> Option<RunSample> {
        let began_ms = self.jobs[job].units[unit].began_ms()?;
        let elapsed_ms = self.arrived_ms.saturating_sub(began_ms);
        RunSample::of_end(elapsed_ms, self.run_estimate_ms(job, unit))
    }

    /// Returns the caller's estimate of a run's time, lengthened if it runs away from its data or
    /// is spread over racks, in ms.
    fn run_estimate_ms(&self, job: usize, unit: usize) -> u64 {
        let step = self.jobs[job].step(unit);
        if step.data_rack.is_none() && !step.same_rack {
            return step.estimate_ms;
        }
        let mut racks: Vec<Option<&ObjectName>> = self
            .run_upstreams(job, unit)
            .iter()
            .map(|name| {
                let index = self.upstream_index(name)?;
                self.upstreams[index].report.as_ref()?.rack.as_ref()
            })
            .collect();
        racks.sort_unstable();
        racks.dedup();
        let data_rack = step.data_rack.as_ref();
        let away = data_rack.is_some() && racks.iter().any(|rack| *rack != data_rack);
        let spread = step.same_rack && racks.len() > 1;
        match away || spread {
            true => step.estimate_ms * self.timing.far_factor,
            false => step.estimate_ms,
        }
    }

    fn run_upstreams(&self, job: usize, unit: usize) -> Vec<ObjectName> {
        let members = self.jobs[job].units[unit].members.iter();
        members
            .filter_map(|member| member.upstream.clone())
            .collect()
    }

    fn step_key(&self, job: usize, unit: usize) -> StepKey {
        let state = &self.jobs[job];
        (state.id.clone(), state.shapes[unit].step)
    }

    fn settled_bias(&self, job: usize, step: usize) -> LogEstimate {
        let state = &self.jobs[job];
        let settled = state.biases[step].settled;
        settled.unwrap_or_else(|| self.speeds.expected_bias(&state.record.queue))
    }

    /// Returns the bias of a run's step: by the runs that have ended if it is the only one in
    /// progress, by all if there are others.
    fn bias_beside(&mut self, job: usize, unit: usize) -> LogEstimate {
        let now_ms = self.now.steady_ms;
        let state = &self.jobs[job];
        let step = state.shapes[unit].step as usize;
        if state.step(unit).gang {
            return self.settled_bias(job, step);
        }
        let known = &state.biases[step];
        if let Some(current) = known.current
            && now_ms < known.current_ms + BIAS_INTERVAL_MS
        {
            return current;
        }
        let key = self.step_key(job, unit);
        let mut bias = self.settled_bias(job, step);
        for other in 0..self.jobs[job].units.len() {
            let state = &self.jobs[job];
            let in_step = state.shapes[other].step as usize == step;
            if !in_step || state.units[other].phase != UnitPhase::Active {
                continue;
            }
            if let Some(sample) = self.progress_sample(job, other) {
                let members = self.run_upstreams(job, other);
                bias = self.speeds.refined_bias(&bias, sample, &key, &members);
            }
        }
        let known = &mut self.jobs[job].biases[step];
        known.current = Some(bias);
        known.current_ms = now_ms;
        bias
    }
}
