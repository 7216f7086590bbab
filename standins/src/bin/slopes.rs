//! Benchmarks how cost grows with the size of a region: message bytes, journal and snapshot
//! bytes, memory and times. docs/CAPACITY.md uses the figures.
//!
//! `slopes` builds the state of one region at three sizes, with jobs on every accelerator that
//! they can get, and measures the decision code and the encoded messages.

use std::fs;
use std::time::Instant;

use hemlockramp::journal::fold::JournalEntry;
use hemlockramp::journal::record::{
    CancelRecord, JournalRecord, RecordBody, RecordId, TaskReport, WorkerRecord,
};
use hemlockramp::journal::snapshot::{join_parts, split_state};
use hemlockramp::journal::state::FoldState;
use hemlockramp::systems::plan::plan;
use hemlockramp::systems::policy::PolicySettings;
use hemlockramp::systems::task_orders::OrderTable;
use hemlockramp::tables::cell::CellShape;
use hemlockramp::tables::job::{JobSpec, TaskState};
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::ticket::TicketSpec;
use hemlockramp::tables::worker::WorkerState;
use hemlockramp::wire::peer::{HeartbeatMessage, PeerBody, PeerCall, PeerFrame};
use hemlockramp::wire::worker::{DesiredState, SyncRequest, SyncResponse, TaskOrder};
use standins::replay::workload::{Deployment, target_region};

/// Workers of one region: an eighth, a half and all of the target deployment's region.
const SIZES: [usize; 3] = [292, 1_166, 2_333];
/// Tasks of one job in the filled state.
const TASKS_PER_JOB: u32 = 6;
/// Number of jobs submitted in the burst, and at most cancelled in one record.
const BURST_JOBS: usize = 1_000;
/// HTTP headers of a lease renewal and its response, in bytes, as sent by hyper.
const HTTP_HEADER_BYTES: usize = 230;
/// Maximum number of placements per planning round while the region fills.
const FILL_ROUND: usize = 2_000;

struct SlopeBench {
    state: FoldState,
    bytes: u64,
    records: u64,
}

impl SlopeBench {
    fn push(&mut self, body: RecordBody) {
        let offset = self.state.next_offset;
        let record = JournalRecord {
            id: RecordId {
                boot: 0x1234_5678_9abc_def0,
                seq: offset + 1,
            },
            host: name("entry-host-1"),
            body,
        };
        self.bytes += serde_json::to_string(&record).map_or(0, |text| text.len()) as u64;
        self.records += 1;
        self.state.apply(&JournalEntry {
            offset,
            at_ms: 1_700_000_000_000 + offset,
            record: Some(record),
        });
    }

    fn plan(&mut self, policy: &PolicySettings) -> usize {
        let records = plan(&self.state, self.state.now_ms, policy).records;
        let count = records.len();
        records.into_iter().for_each(|record| self.push(record));
        count
    }

    fn report_all(&mut self, wanted: TaskState) {
        let reports: Vec<TaskReport> = self
            .state
            .jobs
            .active()
            .flat_map(|(job, attempt)| {
                let id = job.spec.id.clone();
                let number = attempt.number;
                (0..attempt.tasks.len()).map(move |task| TaskReport {
                    job: id.clone(),
                    attempt: number,
                    task: task as u16,
                    state: wanted,
                    ran_ms: 0,
                })
            })
            .collect();
        for group in reports.chunks(32) {
            self.push(RecordBody::Tasks(group.to_vec()));
        }
    }
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn job(index: usize, teams: usize) -> JobSpec {
    JobSpec {
        id: name(&format!("restock-plan-{index:08}")),
        team: name(&format!("team{}", index % teams)),
        shape: CellShape::try_from(1).expect("a shape"),
        count: TASKS_PER_JOB,
        domain: None,
        urgent: false,
        declared_ms: 3_600_000,
        deadline_ms: None,
        max_attempts: 5,
        command: "run plan --region west".to_owned(),
    }
}

fn milliseconds(work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_secs_f64() * 1_000.0
}

/// Returns the resident memory of this process, in MB; 0 if it cannot be read.
fn resident_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}

fn main() {
    print_messages();
    for workers in SIZES {
        measure(workers);
    }
}

/// Prints the encoded size of single messages.
fn print_messages() {
    let order = |task: usize| TaskOrder {
        task: format!("restock-plan-00001234/{task}"),
        token: 123_456_789,
        want: DesiredState::Run,
        accelerators: 1 << (task % 8),
        grace_ms: 0,
        command: "run plan --region west".to_owned(),
    };
    let request = |orders: Option<Vec<TaskOrder>>| SyncRequest {
        lease_ms: 10_000,
        digest: u64::MAX / 3,
        orders,
        seen: 123_456,
        wait_ms: 2_500,
    };
    let json = |value: serde_json::Value| value.to_string().len() + HTTP_HEADER_BYTES;
    let renewal = serde_json::to_value(request(None)).expect("JSON");
    let orders = (0..9).map(order).collect();
    let full = serde_json::to_value(request(Some(orders))).expect("JSON");
    let answer = serde_json::to_value(SyncResponse {
        renewed: true,
        version: 123_456,
        tasks: Vec::new(),
    });
    let mut heartbeat = Vec::new();
    let frame = PeerFrame {
        id: 123_456,
        body: PeerBody::Call(PeerCall::Heartbeat(HeartbeatMessage {
            host: name("entry-host-1"),
            folded: 123_456_789,
            ticket: 12_345,
            draining: false,
            lost: Vec::new(),
        })),
    };
    ciborium::into_writer(&frame, &mut heartbeat).expect("encoded");
    println!("message bytes, headers of {HTTP_HEADER_BYTES} included where HTTP:");
    println!("  renewal of a worker            {:>6}", json(renewal));
    println!(
        "  its answer                     {:>6}",
        json(answer.expect("JSON"))
    );
    println!("  orders of nine tasks           {:>6}", json(full));
    println!("  heartbeat to a peer, one way   {:>6}", heartbeat.len());
}

fn measure(workers: usize) {
    let deployment = Deployment {
        workers,
        teams: 37,
        ..target_region()
    };
    let policy = PolicySettings {
        placements_per_tick: FILL_ROUND,
        ..PolicySettings::default()
    };
    let mut bench = SlopeBench {
        state: FoldState::default(),
        bytes: 0,
        records: 0,
    };
    println!("\nregion of {workers} workers, {} teams", deployment.teams);
    let records: Vec<WorkerRecord> = deployment.worker_records();
    records
        .iter()
        .for_each(|record| bench.push(RecordBody::Worker(record.clone())));
    let teams = deployment.team_specs();
    bench.push(RecordBody::Ticket(TicketSpec {
        number: 1,
        author: name("operator"),
        teams: teams.clone(),
    }));
    let (bytes, count) = (bench.bytes, bench.records);
    let jobs = workers * 8 / TASKS_PER_JOB as usize;
    let started = Instant::now();
    (0..jobs).for_each(|index| bench.push(RecordBody::Submit(job(index, deployment.teams))));
    while bench.plan(&policy) > 0 {}
    bench.report_all(TaskState::Prepared);
    bench.report_all(TaskState::Running);
    let filled_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let placed = bench.state.jobs.active().count();
    let tasks: usize = bench
        .state
        .jobs
        .active()
        .map(|(_, row)| row.tasks.len())
        .sum();
    println!("  jobs running {placed}, tasks {tasks}, filled in {filled_ms:.0} ms");
    let (bytes, count) = (bench.bytes - bytes, bench.records - count);
    println!(
        "  journal: {count} records, {bytes} bytes; a job {:.0} bytes to its start",
        bytes as f64 / placed as f64
    );
    print_state(&bench);
    print_decisions(bench, &deployment, &records, jobs);
}

fn print_state(bench: &SlopeBench) {
    let mut parts = Vec::new();
    let split_ms = milliseconds(|| parts = split_state(&bench.state, 1).expect("parts"));
    let join_ms = milliseconds(|| drop(join_parts(&parts).expect("joined")));
    let bytes: usize = parts.iter().map(|part| part.data.len()).sum();
    println!(
        "  snapshot: {} parts, {bytes} bytes; written in {split_ms:.1} ms, read in {join_ms:.1} ms",
        parts.len()
    );
    println!("  resident memory of this process {:.1} MB", resident_mb());
    let mut orders = OrderTable::default();
    let derive_ms = milliseconds(|| orders = OrderTable::derive(&bench.state, &[], 2_000));
    println!(
        "  orders of {} tasks derived in {derive_ms:.2} ms",
        orders.rows.len()
    );
}

fn print_decisions(
    mut bench: SlopeBench,
    deployment: &Deployment,
    records: &[WorkerRecord],
    jobs: usize,
) {
    let policy = PolicySettings::default();
    let idle_ms = milliseconds(|| drop(plan(&bench.state, bench.state.now_ms, &policy)));
    println!("  a round with nothing to do {idle_ms:.3} ms");
    let mut urgent = job(jobs, deployment.teams);
    urgent.urgent = true;
    urgent.count = 1;
    let mut one = SlopeBench {
        state: bench.state.clone(),
        bytes: 0,
        records: 0,
    };
    one.push(RecordBody::Submit(urgent));
    let one_ms = milliseconds(|| drop(plan(&one.state, one.state.now_ms, &policy)));
    println!("  a round with one urgent job on a full region {one_ms:.2} ms");
    let mut burst = SlopeBench {
        state: bench.state.clone(),
        bytes: 0,
        records: 0,
    };
    let submit_ms = milliseconds(|| {
        (0..BURST_JOBS).for_each(|index| {
            burst.push(RecordBody::Submit(job(jobs + 1 + index, deployment.teams)));
        });
    });
    let mut searched = 0;
    let burst_ms =
        milliseconds(|| searched = plan(&burst.state, burst.state.now_ms, &policy).searched);
    println!(
        "  burst of {BURST_JOBS}: folded in {submit_ms:.1} ms, a round {burst_ms:.1} ms, {searched} searched"
    );
    let ids: Vec<ObjectName> = bench
        .state
        .jobs
        .rows
        .iter()
        .take(BURST_JOBS)
        .map(|row| row.spec.id.clone())
        .collect();
    let mut wave = SlopeBench {
        state: bench.state.clone(),
        bytes: 0,
        records: 0,
    };
    let cancelled = ids.len();
    let wave_ms = milliseconds(|| wave.push(RecordBody::Cancel(CancelRecord { jobs: ids })));
    println!("  cancellation of {cancelled} running jobs in {wave_ms:.2} ms");
    let lost = records
        .iter()
        .filter(|record| record.domain.as_str() == "d0");
    let lost: Vec<WorkerRecord> = lost
        .map(|record| WorkerRecord {
            state: WorkerState::Down,
            ..record.clone()
        })
        .collect();
    let count = lost.len();
    let down_ms = milliseconds(|| {
        lost.into_iter()
            .for_each(|record| bench.push(RecordBody::Worker(record)))
    });
    println!("  a failure domain of {count} workers down: folded in {down_ms:.1} ms");
}
