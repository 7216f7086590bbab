//! Tests of the rows in which a job's task state is stored.

use std::rc::Rc;
use std::sync::Arc;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::config::QueueRule;
use hemlockramp::work::model::crash_record::{LossRecord, UpstreamLife};
use hemlockramp::work::model::record::{
    JobPhase, JobRecord, RunRecord, RunRow, TASKS_PER_ROW, decode_run_row, encode_run_row,
};
use hemlockramp::work::model::spec::{RepeatSpec, StepSpec, WorkSpec};
use hemlockramp::work::model::stream::KeyedValue;
use hemlockramp::work::owner::job_state::JobState;
use hemlockramp::work::owner::unit_state::{MemberPhase, UnitPhase};
use hemlockramp::work::store::limits::StoreLimits;

/// The store's limits on the platform.
const LIMITS: StoreLimits = StoreLimits {
    record_bytes: 262_144,
    request_bytes: 2_097_152,
};
/// Losses of a task with its upstreams that are recorded before the task is given up.
const OPEN_LOSSES_MAX: usize = 4;

/// Shape of a job: steps of so many tasks, each after the one before, in so many rounds.
struct JobCase {
    name: &'static str,
    /// Number of tasks of each step, and whether they are a gang.
    steps: &'static [(u32, bool)],
    rounds: u32,
}

const CASES: &[JobCase] = &[
    JobCase {
        name: "one task",
        steps: &[(1, false)],
        rounds: 1,
    },
    JobCase {
        name: "a row, filled exactly",
        steps: &[(TASKS_PER_ROW, false)],
        rounds: 1,
    },
    JobCase {
        name: "many occurrences",
        steps: &[(72, false), (72, false), (72, false)],
        rounds: 40,
    },
    JobCase {
        name: "a gang over many rows",
        steps: &[(5, false), (512, true), (3, false)],
        rounds: 1,
    },
    JobCase {
        name: "gangs that share rows",
        steps: &[(7, true), (40, true), (1, false)],
        rounds: 9,
    },
];

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn job(case: &JobCase) -> JobState {
    let step = |(index, (count, gang)): (usize, &(u32, bool))| StepSpec {
        count: *count,
        gang: *gang,
        after: (0..index as u32).collect(),
        ..StepSpec::default()
    };
    let record = JobRecord {
        team: None,
        queue: name("queue"),
        config_version: 0,
        rule: QueueRule {
            pool: name("pool"),
            priority: 1,
            attempts_max: 3,
            stretch: 3.0,
            objective_ms: 1_000,
        },
        accepted_ms: 0,
        spec: WorkSpec {
            payload: "p".into(),
            steps: case.steps.iter().enumerate().map(step).collect(),
            repeat: Some(RepeatSpec {
                rounds: case.rounds,
                first_ms: 0,
                every_ms: 1_000,
            }),
        },
    };
    JobState::new(name("a"), Rc::new(record), JobPhase::Queued, 0)
}

/// Places all members of a unit and marks its rows.
fn place(job: &mut JobState, unit: usize, run: u32, upstream: &str) {
    let state = &mut job.units[unit];
    state.phase = UnitPhase::Active;
    state.run = run;
    for member in &mut state.members {
        member.phase = MemberPhase::Sent;
        member.upstream = Some(name(upstream));
        member.incarnation = u64::MAX;
    }
    job.rows.mark_unit(unit);
}

fn decode(entries: &[KeyedValue]) -> Vec<RunRow> {
    let kept = entries.iter().filter(|entry| !entry.value.is_empty());
    let decoded = kept.map(|entry| decode_run_row(entry).expect("a valid row").1);
    decoded.collect()
}

/// Guards against records that grow with the job (`review/1`): with the longest names, checkpoints
/// and crash histories in all tasks, each row fits into a record.
#[test]
fn each_row_fits_into_a_record() {
    let upstream = "u".repeat(64);
    let checkpoint: Arc<str> = "c".repeat(LIMITS.checkpoint_max_bytes()).into();
    for case in CASES {
        let mut job = job(case);
        for unit in 0..job.units.len() {
            place(&mut job, unit, u32::MAX, &upstream);
            let state = &mut job.units[unit];
            state.resumed = Arc::clone(&checkpoint);
            for member in 0..state.members.len() as u32 {
                for _ in 0..OPEN_LOSSES_MAX {
                    state.crashes.add_loss(
                        member,
                        LossRecord {
                            life: UpstreamLife {
                                upstream: name(&upstream),
                                address: Some(([255, 255, 255, 255], u16::MAX).into()),
                                incarnation: u64::MAX,
                            },
                            started: true,
                        },
                    );
                }
            }
        }
        for entry in job.take_changed_rows() {
            assert!(LIMITS.admits(&entry), "{}: {}", case.name, entry.size());
        }
    }
}

/// A change of one task writes the rows of its unit only, however large the job is.
#[test]
fn a_change_writes_the_rows_that_it_touches() {
    for case in CASES {
        let mut job = job(case);
        for unit in 0..job.units.len() {
            place(&mut job, unit, 1, "u");
        }
        let all = job.take_changed_rows().len() as u32;
        let tasks = case.steps.iter().map(|(count, _)| count).sum::<u32>() * case.rounds;
        assert_eq!(all, tasks.div_ceil(TASKS_PER_ROW), "{}", case.name);
        assert!(job.take_changed_rows().is_empty(), "{}", case.name);
        let last = job.units.len() - 1;
        job.rows.mark_member(last, 0);
        assert_eq!(job.take_changed_rows().len(), 1, "{}", case.name);
        job.rows.mark_unit(0);
        let rows = job.take_changed_rows().len() as u32;
        let of_unit = job.shapes[0].count.div_ceil(TASKS_PER_ROW);
        assert_eq!(rows, of_unit, "{}", case.name);
    }
}

#[test]
fn a_job_is_restored_from_its_rows() {
    for case in CASES {
        let mut original = job(case);
        for unit in 0..original.units.len() {
            match unit % 3 {
                0 => place(&mut original, unit, 4, "u"),
                1 => {
                    original.units[unit].phase = UnitPhase::Done;
                    original.units[unit].failed = 2;
                    original.rows.mark_unit(unit);
                }
                _ => {}
            }
        }
        let mut restored = job(case);
        restored.restore(&decode(&original.take_changed_rows()));
        for (unit, (left, right)) in original.units.iter().zip(&restored.units).enumerate() {
            let what = format!("{}, unit {unit}", case.name);
            assert_eq!(left.phase, right.phase, "{what}");
            assert_eq!((left.run, left.failed), (right.run, right.failed), "{what}");
            let places = |state: &hemlockramp::work::owner::unit_state::UnitState| {
                let members = state.members.iter();
                members
                    .map(|member| (member.upstream.clone(), member.incarnation))
                    .collect::<Vec<_>>()
            };
            assert_eq!(places(left), places(right), "{what}");
        }
        assert_eq!(
            original.rows.stored_keys(&original.id),
            restored.rows.stored_keys(&restored.id),
            "{}",
            case.name
        );
    }
}

/// An owner that dies between the rows of a change leaves some of them as they were before. Members
/// that the older rows name have certainly ended.
#[test]
fn rows_of_an_older_run_name_no_member() {
    let case = &CASES[3];
    let gang = 5;
    let mut original = job(case);
    place(&mut original, gang, 1, "old");
    let before = original.take_changed_rows();
    place(&mut original, gang, 2, "new");
    let after = original.take_changed_rows();
    for stored in 0..=after.len() {
        let mut rows = before.clone();
        rows[..stored].clone_from_slice(&after[..stored]);
        let mut restored = job(case);
        restored.restore(&decode(&rows));
        let unit = &restored.units[gang];
        let expected = if stored == 0 { "old" } else { "new" };
        for member in unit.members.iter().filter_map(|one| one.upstream.as_ref()) {
            assert_eq!(member.as_str(), expected, "{stored} rows stored");
        }
        let complete = stored == 0 || stored == after.len();
        assert_eq!(
            unit.phase == UnitPhase::Active,
            complete,
            "{stored} rows stored"
        );
    }
}

/// A row with all tasks, as older versions wrote it, is replaced by rows of this version.
#[test]
fn a_row_of_an_older_version_is_replaced() {
    let case = &CASES[4];
    let mut original = job(case);
    for unit in 0..original.units.len() {
        place(&mut original, unit, 3, "u");
    }
    let rows = decode(&original.take_changed_rows());
    let units = rows.iter().flat_map(|row| row.record.units.clone());
    // A unit that spans rows has a part in each of them.
    let mut merged: Vec<hemlockramp::work::model::record::UnitRecord> = Vec::new();
    for unit in units {
        match merged.last_mut() {
            Some(last) if unit.places.first().is_some_and(|place| place.member > 0) => {
                last.places.extend(unit.places);
            }
            _ => merged.push(unit),
        }
    }
    let whole = RunRow {
        number: None,
        record: RunRecord { units: merged },
    };
    assert_eq!(encode_run_row(&original.id, &whole).key, "a");
    let mut restored = job(case);
    restored.restore(&[whole]);
    let entries = restored.take_changed_rows();
    assert_eq!(decode(&entries), rows);
    let deleted: Vec<&str> = entries
        .iter()
        .filter(|entry| entry.value.is_empty())
        .map(|entry| entry.key.as_str())
        .collect();
    assert_eq!(deleted, ["a"]);
}

/// How entries of some sizes are divided into calls.
struct CallCase {
    name: &'static str,
    sizes: &'static [usize],
    first_call: usize,
}

#[test]
fn calls_keep_to_the_limit_of_a_request() {
    let limits = StoreLimits {
        record_bytes: 1_000,
        request_bytes: 1_000,
    };
    let case = |name, sizes, first_call| CallCase {
        name,
        sizes,
        first_call,
    };
    let cases = [
        case("none", &[], 1),
        case("all fit", &[100, 200, 300], 3),
        case("too much for one", &[500, 400, 200], 2),
        case("one that is too large", &[2_000, 10], 1),
        case("a small one after a large one", &[900, 200, 10], 1),
    ];
    for case in cases {
        let entry = |size: &usize| KeyedValue {
            key: "k".into(),
            value: vec![0; size - 9],
        };
        let entries: Vec<KeyedValue> = case.sizes.iter().map(entry).collect();
        assert_eq!(
            limits.count_for_call(entries.iter()),
            case.first_call,
            "{}",
            case.name
        );
    }
}
