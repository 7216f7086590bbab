//! How long hosts and the store keep jobs that are over.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::clock::HostTime;
use hemlockramp::work::model::record::{
    JobPhase, JobRecord, JobRowKind, WorkRecord, parse_removed_row, removed_row,
};
use hemlockramp::work::model::spec::WorkSpec;
use hemlockramp::work::model::stream::{KeyedValue, StreamRecord};
use hemlockramp::work::owner::PoolOwner;
use hemlockramp::work::state::jobs_view::{JobEntry, JobsView};
use support::pool_sim::{TIMING, config, step};

const RETENTION_MS: u64 = 180_000;
/// Jobs accepted each second: a little more than the largest of the sheets.
const JOBS_PER_S: u64 = 5;
const DAY_S: u64 = 86_400;
/// Time within which a job that is over loses its own row, in s.
const ROW_S: u64 = 2;
/// The same for one that was handed in again.
const REPEATED_ROW_S: u64 = 8;
/// Bounds of what hosts and the store keep, whatever the length of the run.
const JOBS_MAX: u64 = JOBS_PER_S * (RETENTION_MS / 1_000 + 3);
const RECORDS_MAX: u64 = JOBS_PER_S * ROW_S + REPEATED_ROW_S;

fn job_id(number: u64) -> ObjectName {
    // Ids are not in the order of their jobs.
    let id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ObjectName::try_from(format!("{id:016x}").as_str()).expect("a valid name")
}

fn job_record() -> JobRecord {
    let queue = ObjectName::try_from("plain").expect("a valid name");
    JobRecord {
        team: None,
        config_version: 0,
        rule: config().rule(&queue).expect("a queue").clone(),
        queue,
        accepted_ms: 0,
        spec: WorkSpec {
            payload: "x".repeat(100).into(),
            steps: vec![step(1, 1_000, 1, false)],
            repeat: None,
        },
    }
}

/// The store's newest rows, a host's view of them and the owner.
struct Day {
    rows: BTreeMap<String, Vec<u8>>,
    offset: u64,
    view: JobsView,
    owner: PoolOwner,
    removals: Vec<KeyedValue>,
    now_ms: u64,
}

impl Day {
    fn new() -> Self {
        let now = HostTime {
            steady_ms: 1_000,
            wall_ms: 1_000,
        };
        let mut view = JobsView::default();
        view.begin_listing();
        view.end_listing();
        Self {
            rows: BTreeMap::new(),
            offset: 0,
            view,
            owner: PoolOwner::new(1 << 16, TIMING, Rc::new(config()), now),
            removals: Vec::new(),
            now_ms: 1_000,
        }
    }

    fn append(&mut self, rows: Vec<KeyedValue>) {
        self.view.set_time(self.now_ms);
        for entry in rows {
            match entry.value.is_empty() {
                true => _ = self.rows.remove(&entry.key),
                false => _ = self.rows.insert(entry.key.clone(), entry.value.clone()),
            }
            self.offset += 1;
            let offset = self.offset;
            self.view.apply(&StreamRecord { offset, entry });
        }
        self.view.forget_removed();
    }

    fn submit(&mut self, id: &ObjectName) {
        let record = WorkRecord::Job(id.clone(), Box::new(job_record()));
        self.append(vec![KeyedValue::from(&record)]);
        let entry = self.view.job(id).expect("the job");
        if let (Some(record), false) = (&entry.record, entry.phase.is_over()) {
            self.owner.add_job(id, Rc::clone(record), entry.phase, &[]);
        }
    }

    /// Passes a second, in which the owner ends all jobs that it has.
    fn pass_second(&mut self) {
        self.now_ms += 1_000;
        let now = HostTime {
            steady_ms: self.now_ms,
            wall_ms: self.now_ms,
        };
        let open: Vec<ObjectName> = self.owner.jobs().iter().map(|job| job.id.clone()).collect();
        open.iter().for_each(|id| self.owner.cancel(id));
        self.owner.tick(now);
        let mut rows = std::mem::take(&mut self.removals);
        if let Some(batch) = self.owner.take_batch() {
            rows.extend(batch.jobs);
            let ended = batch.ended.iter();
            self.removals = ended.map(|id| removed_row(JobRowKind::Job, id)).collect();
        }
        self.append(rows);
        let held = |id: &ObjectName| self.owner.holds(id);
        let (rows, ids) = self.view.take_removals(RETENTION_MS, held);
        self.owner.forget_ended(&ids);
        self.append(rows);
    }

    /// Returns the view of a host that starts now.
    fn listed_view(&self) -> JobsView {
        let mut view = JobsView::default();
        view.begin_listing();
        for (key, value) in &self.rows {
            let (key, value) = (key.clone(), value.clone());
            view.apply(&StreamRecord {
                offset: 0,
                entry: KeyedValue { key, value },
            });
        }
        view.end_listing();
        view
    }

    fn assert_bounded(&self) {
        let started = self.listed_view();
        for view in [&self.view, &started] {
            let records = view.jobs.iter().filter(|job| job.record.is_some());
            assert!(view.jobs.len() as u64 <= JOBS_MAX, "{}", view.jobs.len());
            assert!(records.count() as u64 <= RECORDS_MAX);
        }
        assert!(self.rows.len() as u64 <= JOBS_MAX + RECORDS_MAX);
        assert!(self.owner.ended_count() as u64 <= JOBS_MAX);
        assert!(self.owner.jobs().len() as u64 <= JOBS_PER_S);
    }
}

/// Guards against hosts that outgrow their memory (`review/6`): each job was kept for ever, with all that
/// its caller had handed in, by each host and in the store.
#[test]
fn day_of_traffic_is_kept_in_bounded_memory_and_rows() {
    let mut day = Day::new();
    let mut number = 0;
    for second in 0..DAY_S {
        for _ in 0..JOBS_PER_S {
            number += 1;
            day.submit(&job_id(number));
        }
        // Handed in twice, seconds after it was accepted or ended.
        day.submit(&job_id(number.saturating_sub(second % 40)));
        day.pass_second();
        let shown = day
            .view
            .job(&job_id(number - JOBS_PER_S))
            .map(JobEntry::is_accepted);
        assert!(second == 0 || shown == Some(true), "second {second}");
        if second % 600 == 0 {
            day.assert_bounded();
        }
    }
    let kept = (RETENTION_MS / 1_000 - 2) * JOBS_PER_S;
    for age in 0..kept {
        let entry = day.view.job(&job_id(number - age));
        assert!(entry.is_some_and(JobEntry::is_accepted), "{age} jobs ago");
    }
    for _ in 0..RETENTION_MS / 1_000 + 60 {
        day.pass_second();
    }
    assert_eq!((day.view.jobs.len(), day.rows.len()), (0, 0));
    assert_eq!(day.owner.ended_count(), 0);
}

/// An id that is handed in again after its job was removed is a new job; a host that starts, or that missed
/// the removal, agrees.
#[test]
fn removed_job_is_unknown_and_may_be_handed_in_again() {
    let id = job_id(1);
    let mut day = Day::new();
    day.submit(&id);
    let mut late_view = day.listed_view();
    day.pass_second();
    let phase = day.view.job(&id).map(JobEntry::shown_phase);
    assert_eq!(phase, Some(JobPhase::Cancelled));
    for _ in 0..RETENTION_MS / 1_000 + 5 {
        day.pass_second();
    }
    assert!(day.view.job(&id).is_none() && day.listed_view().job(&id).is_none());
    late_view.begin_listing();
    late_view.end_listing();
    assert!(late_view.job(&id).is_none(), "missed the removal");
    day.submit(&id);
    assert_eq!(day.owner.jobs().len(), 1);
    let phase = day.view.job(&id).map(JobEntry::shown_phase);
    assert_eq!(phase, Some(JobPhase::Queued));
}

/// A job's own row goes before its phase: no host may see the job without it.
#[test]
fn job_is_never_seen_without_its_final_phase() {
    let id = job_id(1);
    let mut day = Day::new();
    day.submit(&id);
    day.pass_second();
    // The owner has died before it removed the job's own row, so that both go together.
    day.removals.clear();
    day.now_ms += RETENTION_MS;
    day.view.set_time(day.now_ms);
    let (rows, _) = day.view.take_removals(RETENTION_MS, |_| false);
    let kinds = rows.iter().filter_map(|row| parse_removed_row(&row.key));
    let kinds: Vec<JobRowKind> = kinds.map(|(kind, _)| kind).collect();
    assert_eq!(kinds, [JobRowKind::Job, JobRowKind::Phase]);
    for row in rows {
        day.append(vec![row]);
        let entry = day.listed_view();
        let entry = entry.job(&id).map(|job| (job.record.is_some(), job.phase));
        assert!(entry.is_none_or(|entry| entry == (false, JobPhase::Cancelled)));
    }
    assert!(day.view.job(&id).is_none());
}
