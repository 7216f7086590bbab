//! Drives the journal fold and the planner without hosts, with an in-memory log, a virtual clock
//! and simulated workers.

use hemlockramp::journal::fold::{FoldVerdict, JournalEntry};
use hemlockramp::journal::record::{
    CancelRecord, JournalRecord, RecordBody, RecordId, TaskReport, WorkerRecord,
};
use hemlockramp::journal::state::FoldState;
use hemlockramp::systems::plan::plan;
use hemlockramp::systems::policy::PolicySettings;
use hemlockramp::systems::task_orders::OrderTable;
use hemlockramp::tables::cell::CellShape;
use hemlockramp::tables::job::{JobSpec, TaskState};
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::team::{TeamGuarantee, TeamSpec};
use hemlockramp::tables::ticket::TicketSpec;
use hemlockramp::tables::worker::WorkerState;
use hemlockramp::wire::worker::DesiredState;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

pub fn shape(accelerators: u32) -> CellShape {
    CellShape::try_from(accelerators).expect("a valid shape")
}

/// Returns a team with guarantees of (shape, count) in failure domain `d0`.
pub fn team(text: &str, guarantees: &[(u32, u32)]) -> TeamSpec {
    let held = guarantees
        .iter()
        .map(|(accelerators, count)| TeamGuarantee {
            domain: name("d0"),
            shape: shape(*accelerators),
            count: *count,
        });
    TeamSpec {
        team: name(text),
        guarantees: held.collect(),
        quota_accelerators: 1_000,
        weight: 100,
        max_waiting_jobs: 10_000,
        max_requests_in_flight: 10,
        may_borrow: true,
    }
}

pub fn job(id: &str, team: &str, accelerators: u32, count: u32) -> JobSpec {
    JobSpec {
        id: name(id),
        team: name(team),
        shape: shape(accelerators),
        count,
        domain: None,
        urgent: false,
        declared_ms: 1_000,
        deadline_ms: None,
        max_attempts: 5,
        command: String::new(),
    }
}

/// An in-memory log with the state folded from it.
#[derive(Clone)]
pub struct FoldHarness {
    pub state: FoldState,
    pub log: Vec<JournalEntry>,
    pub now_ms: u64,
    pub policy: PolicySettings,
    pub searched: usize,
}

impl FoldHarness {
    /// Starts with racks of four workers of eight accelerators in domain `d0`.
    pub fn new(racks: usize) -> Self {
        let mut harness = Self {
            state: FoldState::default(),
            log: Vec::new(),
            now_ms: 1_000,
            policy: PolicySettings::default(),
            searched: 0,
        };
        for index in 0..racks * 4 {
            harness.set_worker(index, WorkerState::Live);
        }
        harness
    }

    pub fn set_worker(&mut self, index: usize, state: WorkerState) {
        let record = WorkerRecord {
            name: name(&format!("w{index}")),
            domain: name("d0"),
            rack: name(&format!("r{}", index / 4)),
            position: (index % 4) as u8,
            accelerators: 8,
            address: "127.0.0.1:1".parse().expect("an address"),
            state,
        };
        self.push(RecordBody::Worker(record));
    }

    /// Appends a record and folds it.
    pub fn push(&mut self, body: RecordBody) -> FoldVerdict {
        let offset = self.log.len() as u64;
        let entry = JournalEntry {
            offset,
            at_ms: self.now_ms,
            record: Some(JournalRecord {
                id: RecordId {
                    boot: 1,
                    seq: offset + 1,
                },
                host: name("e0"),
                body,
            }),
        };
        let result = self.state.apply(&entry);
        self.log.push(entry);
        result.verdict
    }

    pub fn accept(&mut self, body: RecordBody) {
        let verdict = self.push(body.clone());
        assert_eq!(verdict, FoldVerdict::Accepted, "{body:?}");
    }

    pub fn ticket(&mut self, number: u64, teams: Vec<TeamSpec>) -> FoldVerdict {
        let author = name("operator");
        self.push(RecordBody::Ticket(TicketSpec {
            number,
            author,
            teams,
        }))
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.accept(RecordBody::Submit(spec));
    }

    pub fn cancel(&mut self, ids: &[&str]) {
        let jobs = ids.iter().map(|id| name(id)).collect();
        self.push(RecordBody::Cancel(CancelRecord { jobs }));
    }

    /// Plans once and folds the planned records; asserts that each is accepted.
    pub fn plan(&mut self) -> usize {
        let result = plan(&self.state, self.now_ms, &self.policy);
        self.searched += result.searched;
        let count = result.records.len();
        for record in result.records {
            self.accept(record);
        }
        count
    }

    /// Simulates the workers: each task order is carried out with probability `obey`, and each
    /// running task ends with probability `end`, one in `fail` of these as failed.
    pub fn work(&mut self, random: &mut ChaCha8Rng, obey: f64, end: f64, fail: u32) {
        let orders = OrderTable::derive(&self.state, &[], 0);
        let mut reports = Vec::new();
        for row in &orders.rows {
            if !random.random_bool(obey) {
                continue;
            }
            let state = match (row.order.want, row.recorded) {
                (DesiredState::Prepare, TaskState::Pending) => TaskState::Prepared,
                (DesiredState::Run, TaskState::Prepared) => TaskState::Running,
                (DesiredState::Run, TaskState::Running) if random.random_bool(end) => {
                    match fail > 0 && random.random_ratio(1, fail) {
                        true => TaskState::Failed,
                        false => TaskState::Finished,
                    }
                }
                (DesiredState::Stop, _) => TaskState::Stopped,
                _ => continue,
            };
            reports.push(TaskReport {
                job: row.job.clone(),
                attempt: row.attempt,
                task: row.task,
                state,
                ran_ms: 10,
            });
        }
        if !reports.is_empty() {
            self.push(RecordBody::Tasks(reports));
        }
    }

    /// Plans and carries out all orders until the log no longer grows, without ending any task.
    pub fn settle(&mut self, random: &mut ChaCha8Rng) {
        loop {
            let before = self.log.len();
            self.plan();
            self.work(random, 1.0, 0.0, 0);
            if self.log.len() == before {
                return;
            }
        }
    }

    pub fn job_state(&self, id: &str) -> String {
        let row = self.state.jobs.find(&name(id)).expect("the job");
        hemlockramp::wire::api::JobView::from(row).state
    }
}

/// Asserts that the rack masks equal those derived from attempts and bindings, and that gangs,
/// bindings and quotas are consistent.
pub fn check_invariants(state: &FoldState) {
    let racks = state.racks.rows.len();
    let mut used = vec![0u128; racks];
    let mut hard = vec![0u128; racks];
    let mut bound = vec![0u128; racks];
    for (job, attempt) in state.jobs.active() {
        for cell in &attempt.cells {
            let rack = cell.rack as usize;
            if attempt.holds {
                assert_eq!(
                    used[rack] & cell.mask(),
                    0,
                    "{} overlaps another holder",
                    job.spec.id
                );
                used[rack] |= cell.mask();
            }
            if attempt.guaranteed {
                assert_eq!(
                    hard[rack] & cell.mask(),
                    0,
                    "{} overlaps another claim",
                    job.spec.id
                );
                hard[rack] |= cell.mask();
                let enclosing = state.teams.enclosing_binding(cell).expect("a binding");
                let binding = &state.teams.bindings[enclosing];
                assert_eq!(binding.team, job.spec.team, "the binding's team");
                assert_eq!(
                    binding.held & cell.mask(),
                    cell.mask(),
                    "held in the binding"
                );
            }
        }
        let tasks: u32 = attempt
            .tasks
            .iter()
            .map(|task| task.accelerators.count_ones())
            .sum();
        assert_eq!(
            tasks,
            job.spec.accelerators(),
            "the attempt has all its accelerators"
        );
        let runs = attempt
            .tasks
            .iter()
            .any(|task| task.state == TaskState::Running);
        assert!(
            !runs || attempt.launched,
            "a task runs before all are prepared"
        );
    }
    for binding in &state.teams.bindings {
        let rack = binding.span.rack as usize;
        assert_eq!(bound[rack] & binding.span.mask(), 0, "bindings overlap");
        bound[rack] |= binding.span.mask();
        assert_ne!(binding.held, 0, "a binding holds nothing");
    }
    for (index, row) in state.racks.rows.iter().enumerate() {
        assert_eq!(row.used, used[index], "used of rack {index}");
        assert_eq!(row.hard, hard[index], "hard of rack {index}");
        assert_eq!(row.bound, bound[index], "bound of rack {index}");
    }
    for row in &state.teams.rows {
        let held = state.team_accelerators(&row.spec.team);
        assert!(
            held <= row.spec.quota_accelerators,
            "quota of {}",
            row.spec.team
        );
    }
}
