//! The journal: lost answers, batches, snapshots, gaps.

mod support;

use std::time::Duration;

use hemlockramp::journal::client::LogStore;
use hemlockramp::journal::fold::{FoldResult, FoldVerdict};
use hemlockramp::journal::fold_key::KEY_RETENTION_MS;
use hemlockramp::journal::record::{IntentRecord, OutcomeRecord, RecordBody};
use hemlockramp::journal::snapshot::{
    SnapshotPart, join_parts, read_newest_snapshot, split_state, write_snapshot,
};
use hemlockramp::journal::state::FoldState;
use hemlockramp::journal::tail::{JournalStreams, JournalView, TailStatus, follow};
use hemlockramp::journal::writer::{AppendOutcome, JournalWriter};
use hemlockramp::tables::key::{KeyOutcome, KeyResponse};
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::ticket::TicketSpec;
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::fold::{FoldBench, job, name, team};
use support::log::{AppendFault, MemoryLog};

/// Seed of every property here.
const SEED: u64 = 0x6a6f_7572;

fn streams() -> JournalStreams {
    JournalStreams {
        journal: name("journal"),
        snapshots: name("snapshots"),
    }
}

/// A writer and a tail on one log.
struct JournalBench {
    log: MemoryLog,
    view: JournalView,
    writer: JournalWriter,
}

impl JournalBench {
    fn start(log: MemoryLog, boot: u64) -> Self {
        let view = JournalView::default();
        let interval = Duration::from_millis(25);
        let journal = streams().journal;
        let writer = JournalWriter::start(name("e0"), boot, log.clone(), journal, interval);
        let settler = writer.clone();
        let settle = move |step: &FoldResult| settler.resolve(step);
        tokio::spawn(follow(log.clone(), streams(), view.clone(), settle));
        Self { log, view, writer }
    }

    async fn ticket(&self, number: u64) -> AppendOutcome {
        let record = RecordBody::Ticket(TicketSpec {
            number,
            author: name("operator"),
            teams: vec![team("red", &[])],
        });
        self.writer.append(record, Duration::from_secs(5)).await
    }

    async fn submit(&self, id: &str) -> AppendOutcome {
        let record = RecordBody::Submit(job(id, "red", 1, 1));
        self.writer.append(record, Duration::from_secs(5)).await
    }

    fn knows(&self, id: &str) -> bool {
        self.view.state().jobs.find(&name(id)).is_some()
    }

    async fn wait(&self, what: &str, holds: impl Fn(&JournalView) -> bool) {
        for _ in 0..2_000 {
            if holds(&self.view) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("never: {what}; status {:?}", self.view.status());
    }
}

fn random_fault(random: &mut ChaCha8Rng) -> AppendFault {
    match random.random_range(0..10) {
        0 | 1 => AppendFault::Down,
        2 | 3 => AppendFault::LostResponse,
        4 => AppendFault::LostRequest,
        5 => AppendFault::Late(Duration::from_millis(random.random_range(1..3_000))),
        _ => AppendFault::Good,
    }
}

#[tokio::test(start_paused = true)]
async fn outcomes_are_true_whatever_answers_are_lost() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(SEED + seed);
        let bench = JournalBench::start(MemoryLog::new(), 7);
        assert!(matches!(bench.ticket(1).await, AppendOutcome::Accepted(_)));
        bench
            .log
            .set_append_faults((0..60).map(|_| random_fault(&mut random)).collect());
        let mut outcomes = Vec::new();
        for index in 0..80 {
            let id = format!("j{index}");
            let outcome = bench.submit(&id).await;
            outcomes.push((id, outcome));
        }
        tokio::time::sleep(Duration::from_secs(20)).await;
        for (id, outcome) in outcomes {
            let stands = bench.knows(&id);
            match outcome {
                AppendOutcome::Accepted(_) => assert!(stands, "seed {seed}: {id} was lost"),
                AppendOutcome::Unknown => {}
                told => assert!(!stands, "seed {seed}: {id} ran after {told:?}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_append_that_lands_after_its_void_never_counts() {
    let bench = JournalBench::start(MemoryLog::new(), 7);
    bench.ticket(1).await;
    bench
        .log
        .set_append_faults(vec![AppendFault::Late(Duration::from_secs(3))]);
    let outcome = bench.submit("late").await;
    assert!(matches!(outcome, AppendOutcome::Refused(_)), "{outcome:?}");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(!bench.knows("late"), "it stands in the log, after its void");
}

#[tokio::test(start_paused = true)]
async fn a_burst_shares_appends() {
    let bench = JournalBench::start(MemoryLog::new(), 7);
    bench.ticket(1).await;
    let before = bench.log.appends();
    let waits: Vec<_> = (0..1_000)
        .map(|index| {
            bench
                .writer
                .enqueue(RecordBody::Submit(job(&format!("j{index}"), "red", 1, 1)))
        })
        .collect();
    for wait in waits {
        let outcome = wait.expect("queued").await.expect("settled");
        assert!(matches!(outcome, AppendOutcome::Accepted(_)));
    }
    let appends = bench.log.appends() - before;
    assert!(appends <= 10, "{appends} appends for 1000 records");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_by_a_log_that_is_down_is_at_once_and_true() {
    let bench = JournalBench::start(MemoryLog::new(), 7);
    bench.ticket(1).await;
    bench.log.set_append_faults(vec![AppendFault::Down]);
    let outcome = bench.submit("refused").await;
    assert!(
        matches!(outcome, AppendOutcome::NotAppended(_)),
        "{outcome:?}"
    );
    assert!(!bench.knows("refused"));
    assert!(matches!(
        bench.submit("next").await,
        AppendOutcome::Accepted(_)
    ));
}

/// Writes a snapshot of a view's state.
async fn snapshot(log: &MemoryLog, state: &FoldState, id: u64) {
    let parts = split_state(state, id).expect("parts");
    write_snapshot(log, &streams().snapshots, &parts)
        .await
        .expect("written");
}

#[tokio::test(start_paused = true)]
async fn a_new_host_starts_from_snapshot_and_tail() {
    let log = MemoryLog::new();
    let first = JournalBench::start(log.clone(), 7);
    first.ticket(5).await;
    first.submit("old").await;
    let state = first.view.state().clone();
    snapshot(&log, &state, 1).await;
    first.submit("new").await;
    // Retention passes the ticket by.
    log.keep_newest(&streams().journal, 1);
    let second = JournalBench::start(log, 8);
    second
        .wait("current", |view| view.status() == TailStatus::Current)
        .await;
    assert!(second.knows("old") && second.knows("new"));
    assert_eq!(
        second.view.state().tickets.highest,
        5,
        "the ticket is in force"
    );
    assert_eq!(second.view.state().digest(), first.view.state().digest());
}

#[tokio::test(start_paused = true)]
async fn a_gap_without_a_snapshot_serves_nothing() {
    let log = MemoryLog::new();
    let first = JournalBench::start(log.clone(), 7);
    first.ticket(1).await;
    first.submit("old").await;
    log.keep_newest(&streams().journal, 1);
    let second = JournalBench::start(log.clone(), 8);
    second
        .wait("gap", |view| matches!(view.status(), TailStatus::Gap(_)))
        .await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(
        matches!(second.view.status(), TailStatus::Gap(_)),
        "it stays so"
    );
    // A host that still has the state writes a snapshot, which closes the gap.
    let state = first.view.state().clone();
    snapshot(&log, &state, 2).await;
    second
        .wait("current", |view| view.status() == TailStatus::Current)
        .await;
    assert!(second.knows("old"));
}

#[tokio::test(start_paused = true)]
async fn a_log_that_lost_its_end_serves_nothing() {
    let log = MemoryLog::new();
    let first = JournalBench::start(log.clone(), 7);
    first.ticket(1).await;
    let state = first.view.state().clone();
    let other = MemoryLog::new();
    snapshot(&other, &state, 1).await;
    let second = JournalBench::start(other, 8);
    second
        .wait("gap", |view| matches!(view.status(), TailStatus::Gap(_)))
        .await;
}

/// A state of several parts; states of other letters are as long.
fn many_jobs(letter: &str) -> FoldBench {
    let mut bench = FoldBench::new(2);
    bench.ticket(1, vec![team("red", &[])]);
    for index in 0..1_500 {
        bench.submit(job(&format!("{letter}{index}"), "red", 1, 1));
    }
    bench
}

/// Puts a part of a state that is as long, and readable, in the place of one part.
fn mix_snapshots(texts: &mut [String]) {
    let other = split_state(&many_jobs("k").state, 2).expect("parts");
    let mut part: SnapshotPart = serde_json::from_str(&texts[1]).expect("a part");
    part.data = other[1].data.clone();
    texts[1] = serde_json::to_string(&part).expect("text");
}

#[tokio::test(start_paused = true)]
async fn broken_snapshots_are_passed_over() {
    struct Case {
        name: &'static str,
        spoil: fn(&mut Vec<String>),
    }
    let cases = [
        Case {
            name: "a part is missing",
            spoil: |texts| drop(texts.pop()),
        },
        Case {
            name: "a part is damaged",
            spoil: |texts| texts[1] = texts[1].replace("data\":\"", "data\":\"AAAA"),
        },
        Case {
            name: "a part is another snapshot's",
            spoil: |texts| mix_snapshots(texts),
        },
        Case {
            name: "a part is no JSON",
            spoil: |texts| texts[0].truncate(10),
        },
    ];
    let bench = many_jobs("j");
    for case in cases {
        let log = MemoryLog::new();
        let snapshots: ObjectName = streams().snapshots;
        let older = FoldBench::new(1).state;
        let whole = split_state(&older, 1).expect("parts");
        write_snapshot(&log, &snapshots, &whole)
            .await
            .expect("written");
        let parts = split_state(&bench.state, 2).expect("parts");
        assert!(parts.len() >= 3, "{} parts", parts.len());
        let mut texts: Vec<String> = parts
            .iter()
            .map(|part| serde_json::to_string(part).expect("text"))
            .collect();
        (case.spoil)(&mut texts);
        log.append(&snapshots, texts).await.expect("appended");
        let found = read_newest_snapshot(&log, &snapshots)
            .await
            .expect("read")
            .expect("a snapshot");
        assert_eq!(found.digest(), older.digest(), "{}", case.name);
    }
}

/// Records an intent or an outcome under one of a few keys.
fn push_key(bench: &mut FoldBench, random: &mut ChaCha8Rng) {
    let key = name(&format!("k{}", random.random_range(0..4)));
    let row = bench.state.keys.find(&name("red"), &key).cloned();
    let record = match row.filter(|row| row.outcome == KeyOutcome::Pending) {
        Some(row) => RecordBody::Outcome(OutcomeRecord {
            team: name("red"),
            key,
            intent: row.intent,
            outcome: match random.random_range(0..3) {
                0 => KeyOutcome::NotRun,
                1 => KeyOutcome::MayHaveRun,
                _ => KeyOutcome::Answered(KeyResponse {
                    status: 200,
                    body: Some("booked".to_owned()),
                }),
            },
        }),
        None => RecordBody::Intent(IntentRecord {
            team: name("red"),
            key,
            digest: 7,
            issued_ms: bench.now_ms,
        }),
    };
    bench.push(record);
}

#[test]
fn a_key_runs_at_most_once_whatever_its_records_and_snapshots() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = FoldBench::new(1);
        bench.ticket(1, vec![team("red", &[])]);
        let mut granted = 0;
        let mut withdrawn = 0;
        for step in 0..60 {
            let intent = RecordBody::Intent(IntentRecord {
                team: name("red"),
                key: name("charge"),
                digest: 7,
                issued_ms: 1_000,
            });
            bench.now_ms += random.random_range(0..KEY_RETENTION_MS / 20);
            granted += u32::from(bench.push(intent) == FoldVerdict::Accepted);
            if random.random_ratio(1, 8) {
                let row = bench
                    .state
                    .keys
                    .find(&name("red"), &name("charge"))
                    .cloned();
                let Some(row) = row else { continue };
                let outcome = RecordBody::Outcome(OutcomeRecord {
                    team: row.team,
                    key: row.key,
                    intent: row.intent,
                    outcome: KeyOutcome::NotRun,
                });
                withdrawn += u32::from(bench.push(outcome) == FoldVerdict::Accepted);
            }
            if step % 10 == 9 {
                let parts = split_state(&bench.state, step).expect("parts");
                bench.state = join_parts(&parts).expect("joined");
            }
            // Each grant but the last was withdrawn before anything was sent.
            assert!(granted <= withdrawn + 1, "seed {seed}: granted twice");
        }
        true
    }
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(60)
        .quickcheck(property as fn(u64) -> bool);
}

#[test]
fn the_same_prefix_gives_the_same_state_wherever_a_snapshot_was_cut() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = FoldBench::new(2);
        bench.ticket(1, vec![team("red", &[(16, 1)]), team("blue", &[])]);
        for step in 0..25 {
            bench.now_ms += 1_000;
            let owner = ["red", "blue"][step % 2];
            bench.submit(job(
                &format!("j{step}"),
                owner,
                1 << random.random_range(0..5),
                1,
            ));
            push_key(&mut bench, &mut random);
            bench.plan();
            bench.work(&mut random, 0.8, 0.3, 4);
        }
        let cut = random.random_range(0..bench.log.len());
        let mut state = FoldState::default();
        bench.log[..cut]
            .iter()
            .for_each(|record| drop(state.apply(record)));
        let mut state = join_parts(&split_state(&state, 1).expect("parts")).expect("joined");
        bench.log[cut..]
            .iter()
            .for_each(|record| drop(state.apply(record)));
        state.digest() == bench.state.digest()
    }
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(60)
        .quickcheck(property as fn(u64) -> bool);
}
