//! Claim of the pool by a new owner: fences the previous owner and restores the pool's state.

use std::rc::Rc;
use std::time::Duration;

use eyre::{Report, ensure, eyre};
use tokio::sync::Notify;

use crate::tables::name::ObjectName;
use crate::work::clock::{host_time, steady_ms};
use crate::work::model::record::{OwnerRecord, RunRow, WorkRecord, decode_run_row, run_row_key};
use crate::work::model::speed_record::{SpeedRecord, decode_speed_row};
use crate::work::model::stream::{
    KeyedValue, StoreCall, StoreFailure, StreamName, StreamRecord, WriterStamp,
};
use crate::work::owner::PoolOwner;
use crate::work::owner_loop::claimed_term::ClaimedTerm;
use crate::work::owner_loop::job_writer::HEARTBEAT_INTERVAL_MS;
use crate::work::owner_loop::writer::OwnerWriter;
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::state::context::HostContext;
use crate::work::state::election::next_term;
use crate::work::state::jobs_view::JobsView;
use crate::work::store::follow::list_newest;

/// Writer name shared by all owners; a later epoch of it fences earlier ones.
const OWNER_WRITER: &str = "owner";
/// Key of the record in the runs stream whose append fences the previous owner. It sorts after the
/// rows of all jobs, whose ids are hexadecimal, so a listing reads it last.
const FENCE_KEY: &str = "owner";

/// Claims the pool, fences the previous owner and installs this host's `PoolOwner`. Returns the
/// new term. The claim may take long, so the term may have run out by then.
///
/// # Errors
///
/// Fails if the current owner has sent a heartbeat, another host claimed the pool first, the
/// store is unavailable, or no configuration is known.
pub(super) async fn claim<S: StorePort, O: OrderPort, R: RecordReader>(
    context: &HostContext<S, O, R>,
) -> Result<ClaimedTerm, Report> {
    let to_report = |failure: StoreFailure| eyre!("{failure}");
    let before = context.jobs_view.borrow().owner.clone();
    context.refresh_jobs().await.map_err(to_report)?;
    let current = context.jobs_view.borrow().owner.clone();
    ensure!(current == before, "the current owner sent a heartbeat");
    let last = current.map_or(0, |row| row.record.term);
    let term = next_term(last, rand::random());
    let record = owner_record(context, term, false);
    let call = StoreCall::Append {
        stream: StreamName::Jobs,
        entries: vec![KeyedValue::from(&WorkRecord::Owner(record))],
        stamp: Some(stamp(term, 0)),
        expected_end: Some(context.next_jobs_offset.get()),
    };
    let sent_ms = steady_ms();
    let result = context.call_store(&call).await;
    context.refresh_jobs().await.map_err(to_report)?;
    let owner = context.jobs_view.borrow().owner.clone();
    let won = owner.is_some_and(|row| row.record.term == term);
    ensure!(
        won,
        "another host owns the pool; this host's append under term {term}: {result:?}"
    );
    context.term_status.begin(term, sent_ms, steady_ms());
    // The claim used sequence number 0.
    let jobs = OwnerWriter::new(StreamName::Jobs, term, 1);
    let restored = with_heartbeats(context, &jobs, restore(context, term)).await?;
    install_owner(context, term, &restored.rows, &restored.reports)?;
    Ok(ClaimedTerm {
        term,
        fenced_ms: restored.fenced_ms,
        next_jobs_sequence: jobs.next.get(),
    })
}

/// What a new owner has read, and when it fenced earlier owners.
struct RestoredPool {
    fenced_ms: u64,
    rows: StoredRows,
    reports: Vec<StreamRecord>,
}

/// Fences earlier owners in the stream of runs, then reads all that the new owner starts from.
async fn restore<S: StorePort, O: OrderPort, R: RecordReader>(
    context: &HostContext<S, O, R>,
    term: u64,
) -> Result<RestoredPool, Report> {
    let to_report = |failure: StoreFailure| eyre!("{failure}");
    let call = StoreCall::Append {
        stream: StreamName::Runs,
        entries: vec![KeyedValue {
            key: FENCE_KEY.to_owned(),
            value: term.to_be_bytes().to_vec(),
        }],
        stamp: Some(stamp(term, 0)),
        expected_end: None,
    };
    let fenced_ms = steady_ms();
    context.call_store(&call).await.map_err(to_report)?;
    let rows = list_runs(context, term).await.map_err(to_report)?;
    // Until its fence, the previous owner may have placed jobs that were accepted after the last read.
    context.refresh_jobs().await.map_err(to_report)?;
    // Evacuations that were requested under the previous owner hold from the first start on.
    let reports = list_all(context, StreamName::Upstreams);
    let (reports, ()) = tokio::try_join!(reports, context.refresh_config()).map_err(to_report)?;
    Ok(RestoredPool {
        fenced_ms,
        rows,
        reports,
    })
}

/// Does part of a claim, and writes heartbeats meanwhile: other hosts count the time from the claim as
/// well.
async fn with_heartbeats<S: StorePort, O, R, T>(
    context: &HostContext<S, O, R>,
    jobs: &OwnerWriter,
    work: impl Future<Output = Result<T, Report>>,
) -> Result<T, Report> {
    let done = Notify::new();
    let work = async {
        let result = work.await;
        done.notify_one();
        result
    };
    // A heartbeat that is in flight is awaited, as its sequence number counts.
    let (result, ()) = tokio::try_join!(work, write_heartbeats(context, jobs, &done))?;
    Ok(result)
}

/// Writes heartbeats until `done` is notified, for the length of a lease at most: leases are not renewed
/// during a claim, so a host that needs longer has to be replaced.
async fn write_heartbeats<S: StorePort, O, R>(
    context: &HostContext<S, O, R>,
    jobs: &OwnerWriter,
    done: &Notify,
) -> Result<(), Report> {
    let until_ms = steady_ms() + context.identity.timing.lease_ms;
    loop {
        tokio::select! {
            () = done.notified() => return Ok(()),
            () = tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)) => {}
        }
        if steady_ms() >= until_ms {
            done.notified().await;
            return Ok(());
        }
        let sent_ms = steady_ms();
        let record = WorkRecord::Owner(owner_record(context, jobs.term, false));
        let appended = jobs.append_items(context, vec![KeyedValue::from(&record)], |_, _| {});
        appended.await.map_err(|stop| eyre!("{}", stop.failure))?;
        context.term_status.confirm(sent_ms);
    }
}

/// Returns the owner's record for the jobs stream: a heartbeat, or with `released` set the
/// release of the pool.
pub(super) fn owner_record<S, O, R>(
    context: &HostContext<S, O, R>,
    term: u64,
    released: bool,
) -> OwnerRecord {
    OwnerRecord {
        host: context.identity.name.clone(),
        term,
        released,
    }
}

/// Returns the stamp of an owner's append, with the term as the epoch.
pub(super) fn stamp(term: u64, sequence: u64) -> WriterStamp {
    WriterStamp {
        writer: OWNER_WRITER.to_owned(),
        epoch: term,
        sequence,
    }
}

async fn list_all<S: StorePort, O, R>(
    context: &HostContext<S, O, R>,
    stream: StreamName,
) -> Result<Vec<StreamRecord>, StoreFailure> {
    let mut records = Vec::new();
    list_newest(&context.store, stream, |page| {
        records.extend_from_slice(page);
    })
    .await?;
    Ok(records)
}

/// The stored rows of one job's tasks, sorted by number.
struct StoredRuns {
    job: ObjectName,
    rows: Vec<RunRow>,
}

/// The rows of the runs stream.
#[derive(Default)]
struct StoredRows {
    /// Rows of tasks, sorted by job.
    jobs: Vec<StoredRuns>,
    /// Speeds of upstreams.
    speeds: Vec<SpeedRecord>,
}

/// Returns the stored rows. Call it only after the fence of this term: from
/// then on only this host changes the stream, until a later owner fences it.
///
/// # Errors
///
/// Returns `Fenced` if a later owner has, so that some of the rows may be its own.
async fn list_runs<S: StorePort, O, R>(
    context: &HostContext<S, O, R>,
    term: u64,
) -> Result<StoredRows, StoreFailure> {
    let mut runs = StoredRows::default();
    let mut is_own = false;
    for record in list_all(context, StreamName::Runs).await? {
        if record.entry.key == FENCE_KEY {
            is_own = record.entry.value == term.to_be_bytes();
            continue;
        }
        if record.entry.value.is_empty() {
            continue;
        }
        if let Some(speeds) = decode_speed_row(&record.entry) {
            runs.speeds.extend(speeds.unwrap_or_default());
            continue;
        }
        match decode_run_row(&record.entry) {
            Ok((job, row)) => add_row(&mut runs.jobs, job, row),
            Err(error) => {
                log::error!("owner: skipping a row of runs that cannot be decoded: {error}.");
            }
        }
    }
    for stored in &mut runs.jobs {
        stored.rows.sort_by_key(|row| row.number);
    }
    match is_own {
        true => Ok(runs),
        false => Err(StoreFailure::Fenced),
    }
}

fn add_row(runs: &mut Vec<StoredRuns>, job: ObjectName, row: RunRow) {
    match runs.binary_search_by(|stored| stored.job.cmp(&job)) {
        Ok(index) => runs[index].rows.push(row),
        Err(index) => {
            let rows = vec![row];
            runs.insert(index, StoredRuns { job, rows });
        }
    }
}

/// Returns the keys of the stored rows of jobs that have been removed since. The owner before died
/// between the two removals.
fn orphaned_rows(jobs_view: &JobsView, runs: &[StoredRuns]) -> Vec<String> {
    let is_removed = |stored: &&StoredRuns| {
        let job = jobs_view.job(&stored.job);
        job.is_none_or(|job| job.record.is_none())
    };
    let removed = runs.iter().filter(is_removed);
    let keys = |stored: &StoredRuns| -> Vec<String> {
        let rows = stored.rows.iter();
        rows.map(|row| run_row_key(&stored.job, row.number))
            .collect()
    };
    removed.flat_map(keys).collect()
}

fn install_owner<S: StorePort, O, R: RecordReader>(
    context: &HostContext<S, O, R>,
    term: u64,
    runs: &StoredRows,
    reports: &[StreamRecord],
) -> Result<(), Report> {
    let config = context
        .active_config
        .current()
        .ok_or_else(|| eyre!("no configuration has been received from the store"))?;
    let mut owner = PoolOwner::new(term, context.identity.timing, config, host_time());
    owner.set_evacuated(context.evacuations.borrow().evacuated());
    for record in reports {
        if let Some(report) = context.reader.upstream(&record.entry) {
            owner.on_report(report);
        }
    }
    owner.drop_rows(orphaned_rows(&context.jobs_view.borrow(), &runs.jobs));
    owner.restore_speeds(&runs.speeds);
    for job in &context.jobs_view.borrow().jobs {
        let Some(record) = &job.record else { continue };
        let rows = &runs.jobs;
        let stored = rows.binary_search_by(|run| run.job.cmp(&job.id)).ok();
        let stored = stored.map_or(&[][..], |index| rows[index].rows.as_slice());
        // A job that is over is kept while any of its runs may still be active.
        if !job.phase.is_over() || !stored.is_empty() {
            owner.add_job(&job.id, Rc::clone(record), job.phase, stored);
        }
        if job.cancelled {
            owner.cancel(&job.id);
        }
    }
    log::info!(
        term, jobs = owner.jobs().len(), upstreams = owner.upstreams().len();
        "owner: this host owns the pool."
    );
    *context.owner.borrow_mut() = Some(owner);
    Ok(())
}
