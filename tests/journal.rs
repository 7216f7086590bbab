//! Tests of the journal: appends with lost responses, group commit, snapshots and gaps.

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
use support::fold::{FoldHarness, job, name, team};
use support::log::{AppendFault, MemoryLog};

/// Seed of every randomized test in this file.
const SEED: u64 = 0x6a6f_7572;

fn streams() -> JournalStreams {
    JournalStreams {
        journal: name("journal"),
        snapshots: name("snapshots"),
    }
}

/// A journal writer and a follower on one in-memory log.
struct JournalHarness {
    log: MemoryLog,
    view: JournalView,
    writer: JournalWriter,
}

impl JournalHarness {
    fn start(log: MemoryLog, boot: u64) -> Self {
        let view = JournalView::default();
        let interval = Duration::from_millis(25);
        let journal = streams().journal;
        let writer = JournalWriter::start(name("e0"), boot, log.clone(), journal, interval);
        let resolver = writer.clone();
        let resolve = move |result: &FoldResult| resolver.resolve(result);
        tokio::spawn(follow(log.clone(), streams(), view.clone(), resolve));
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

    fn has_job(&self, id: &str) -> bool {
        self.view.state().jobs.find(&name(id)).is_some()
    }

    async fn wait(&self, what: &str, holds: impl Fn(&JournalView) -> bool) {
        for _ in 0..2_000 {
            if holds(&self.view) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("not reached: {what}; status {:?}", self.view.status());
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
async fn append_outcomes_are_correct_under_lost_responses() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(SEED + seed);
        let harness = JournalHarness::start(MemoryLog::new(), 7);
        assert!(matches!(
            harness.ticket(1).await,
            AppendOutcome::Accepted(_)
        ));
        harness
            .log
            .set_append_faults((0..60).map(|_| random_fault(&mut random)).collect());
        let mut outcomes = Vec::new();
        for index in 0..80 {
            let id = format!("j{index}");
            let outcome = harness.submit(&id).await;
            outcomes.push((id, outcome));
        }
        tokio::time::sleep(Duration::from_secs(20)).await;
        for (id, outcome) in outcomes {
            let committed = harness.has_job(&id);
            match outcome {
                AppendOutcome::Accepted(_) => assert!(committed, "seed {seed}: {id} was lost"),
                AppendOutcome::Unknown => {}
                refused => assert!(
                    !committed,
                    "seed {seed}: {id} was committed after {refused:?}"
                ),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn append_arriving_after_its_void_record_is_ignored() {
    let harness = JournalHarness::start(MemoryLog::new(), 7);
    harness.ticket(1).await;
    harness
        .log
        .set_append_faults(vec![AppendFault::Late(Duration::from_secs(3))]);
    let outcome = harness.submit("late").await;
    assert!(matches!(outcome, AppendOutcome::Refused(_)), "{outcome:?}");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(
        !harness.has_job("late"),
        "counted although it follows its void record"
    );
}

#[tokio::test(start_paused = true)]
async fn burst_is_committed_in_few_appends() {
    let harness = JournalHarness::start(MemoryLog::new(), 7);
    harness.ticket(1).await;
    let before = harness.log.appends();
    let waits: Vec<_> = (0..1_000)
        .map(|index| {
            harness
                .writer
                .enqueue(RecordBody::Submit(job(&format!("j{index}"), "red", 1, 1)))
        })
        .collect();
    for wait in waits {
        let outcome = wait.expect("queued").await.expect("resolved");
        assert!(matches!(outcome, AppendOutcome::Accepted(_)));
    }
    let appends = harness.log.appends() - before;
    assert!(appends <= 10, "{appends} appends for 1000 records");
}

#[tokio::test(start_paused = true)]
async fn append_to_unavailable_log_is_refused_without_effect() {
    let harness = JournalHarness::start(MemoryLog::new(), 7);
    harness.ticket(1).await;
    harness.log.set_append_faults(vec![AppendFault::Down]);
    let outcome = harness.submit("refused").await;
    assert!(
        matches!(outcome, AppendOutcome::NotAppended(_)),
        "{outcome:?}"
    );
    assert!(!harness.has_job("refused"));
    assert!(matches!(
        harness.submit("next").await,
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
async fn new_host_recovers_from_snapshot_and_tail() {
    let log = MemoryLog::new();
    let first = JournalHarness::start(log.clone(), 7);
    first.ticket(5).await;
    first.submit("old").await;
    let state = first.view.state().clone();
    snapshot(&log, &state, 1).await;
    first.submit("new").await;
    // Retention removes the ticket from the journal.
    log.retain_newest(&streams().journal, 1);
    let second = JournalHarness::start(log, 8);
    second
        .wait("current", |view| view.status() == TailStatus::Current)
        .await;
    assert!(second.has_job("old") && second.has_job("new"));
    assert_eq!(
        second.view.state().tickets.highest,
        5,
        "the ticket is in force"
    );
    assert_eq!(second.view.state().digest(), first.view.state().digest());
}

#[tokio::test(start_paused = true)]
async fn journal_gap_blocks_the_view_until_a_snapshot_closes_it() {
    let log = MemoryLog::new();
    let first = JournalHarness::start(log.clone(), 7);
    first.ticket(1).await;
    first.submit("old").await;
    log.retain_newest(&streams().journal, 1);
    let second = JournalHarness::start(log.clone(), 8);
    second
        .wait("gap", |view| matches!(view.status(), TailStatus::Gap(_)))
        .await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(
        matches!(second.view.status(), TailStatus::Gap(_)),
        "the gap stays until a snapshot is written"
    );
    // A host that still has the state writes a snapshot, which closes the gap.
    let state = first.view.state().clone();
    snapshot(&log, &state, 2).await;
    second
        .wait("current", |view| view.status() == TailStatus::Current)
        .await;
    assert!(second.has_job("old"));
}

#[tokio::test(start_paused = true)]
async fn log_that_lost_its_end_is_reported_as_a_gap() {
    let log = MemoryLog::new();
    let first = JournalHarness::start(log.clone(), 7);
    first.ticket(1).await;
    let state = first.view.state().clone();
    let other = MemoryLog::new();
    snapshot(&other, &state, 1).await;
    let second = JournalHarness::start(other, 8);
    second
        .wait("gap", |view| matches!(view.status(), TailStatus::Gap(_)))
        .await;
}

/// Returns a state whose snapshot has several parts, of the same length for every `letter`.
fn many_jobs(letter: &str) -> FoldHarness {
    let mut harness = FoldHarness::new(2);
    harness.ticket(1, vec![team("red", &[])]);
    for index in 0..1_500 {
        harness.submit(job(&format!("{letter}{index}"), "red", 1, 1));
    }
    harness
}

/// Replaces one part with a readable part of the same length from another snapshot.
fn swap_snapshot_part(texts: &mut [String]) {
    let other = split_state(&many_jobs("k").state, 2).expect("parts");
    let mut part: SnapshotPart = serde_json::from_str(&texts[1]).expect("a part");
    part.data = other[1].data.clone();
    texts[1] = serde_json::to_string(&part).expect("text");
}

#[tokio::test(start_paused = true)]
async fn damaged_snapshots_are_skipped() {
    struct Case {
        name: &'static str,
        damage: fn(&mut Vec<String>),
    }
    let cases = [
        Case {
            name: "a part is missing",
            damage: |texts| drop(texts.pop()),
        },
        Case {
            name: "a part is damaged",
            damage: |texts| texts[1] = texts[1].replace("data\":\"", "data\":\"AAAA"),
        },
        Case {
            name: "a part belongs to another snapshot",
            damage: |texts| swap_snapshot_part(texts),
        },
        Case {
            name: "a part is not JSON",
            damage: |texts| texts[0].truncate(10),
        },
    ];
    let harness = many_jobs("j");
    for case in cases {
        let log = MemoryLog::new();
        let snapshots: ObjectName = streams().snapshots;
        let older = FoldHarness::new(1).state;
        let intact = split_state(&older, 1).expect("parts");
        write_snapshot(&log, &snapshots, &intact)
            .await
            .expect("written");
        let parts = split_state(&harness.state, 2).expect("parts");
        assert!(parts.len() >= 3, "{} parts", parts.len());
        let mut texts: Vec<String> = parts
            .iter()
            .map(|part| serde_json::to_string(part).expect("text"))
            .collect();
        (case.damage)(&mut texts);
        log.append(&snapshots, texts).await.expect("appended");
        let found = read_newest_snapshot(&log, &snapshots)
            .await
            .expect("read")
            .expect("a snapshot");
        assert_eq!(found.digest(), older.digest(), "{}", case.name);
    }
}

/// Records an intent or an outcome under one of a few keys.
fn push_key(harness: &mut FoldHarness, random: &mut ChaCha8Rng) {
    let key = name(&format!("k{}", random.random_range(0..4)));
    let row = harness.state.keys.find(&name("red"), &key).cloned();
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
            issued_ms: harness.now_ms,
        }),
    };
    harness.push(record);
}

#[test]
fn key_is_granted_at_most_once_across_records_and_snapshots() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = FoldHarness::new(1);
        harness.ticket(1, vec![team("red", &[])]);
        let mut granted = 0;
        let mut withdrawn = 0;
        for step in 0..60 {
            let intent = RecordBody::Intent(IntentRecord {
                team: name("red"),
                key: name("charge"),
                digest: 7,
                issued_ms: 1_000,
            });
            harness.now_ms += random.random_range(0..KEY_RETENTION_MS / 20);
            granted += u32::from(harness.push(intent) == FoldVerdict::Accepted);
            if random.random_ratio(1, 8) {
                let row = harness
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
                withdrawn += u32::from(harness.push(outcome) == FoldVerdict::Accepted);
            }
            if step % 10 == 9 {
                let parts = split_state(&harness.state, step).expect("parts");
                harness.state = join_parts(&parts).expect("joined");
            }
            // Every grant except the last was withdrawn before a request was sent.
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
fn state_is_independent_of_the_snapshot_offset() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = FoldHarness::new(2);
        harness.ticket(1, vec![team("red", &[(16, 1)]), team("blue", &[])]);
        for step in 0..25 {
            harness.now_ms += 1_000;
            let owner = ["red", "blue"][step % 2];
            harness.submit(job(
                &format!("j{step}"),
                owner,
                1 << random.random_range(0..5),
                1,
            ));
            push_key(&mut harness, &mut random);
            harness.plan();
            harness.work(&mut random, 0.8, 0.3, 4);
        }
        let cut = random.random_range(0..harness.log.len());
        let mut state = FoldState::default();
        harness.log[..cut]
            .iter()
            .for_each(|record| drop(state.apply(record)));
        let mut state = join_parts(&split_state(&state, 1).expect("parts")).expect("joined");
        harness.log[cut..]
            .iter()
            .for_each(|record| drop(state.apply(record)));
        state.digest() == harness.state.digest()
    }
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(60)
        .quickcheck(property as fn(u64) -> bool);
}
