//! Tests of the election in virtual time: hosts that read the jobs stream from a store, poll their
//! timers and ask the owner.

use std::ops::RangeInclusive;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::record::OwnerRecord;
use hemlockramp::work::state::election::{ElectionStep, ElectionTimer};
use hemlockramp::work::state::jobs_view::OwnerRow;

/// Step of the virtual time, in ms.
const STEP_MS: u64 = 10;
/// Time for which hosts are observed, in ms.
const OBSERVED_MS: u64 = 8_000;
/// Time for which the store holds a read open, in ms.
const READ_WAIT_MS: u64 = 600;
/// Pause of a follower after a read with records, in ms.
const READ_PAUSE_MS: u64 = 200;
/// Interval at which a host polls its timer, in ms.
const POLL_MS: u64 = 50;
/// Time after which a host gives an inquiry up, in ms.
const INQUIRY_TIMEOUT_MS: u64 = 800;
/// Length of leases on the largest site, in ms.
const LEASE_MS: u64 = 2_700;
/// Time between an owner's heartbeats, in ms.
const HEARTBEAT_MS: u64 = 450;
/// Time that a host takes for its last read and its claim, in ms.
const ROUND_TRIP_MS: u64 = 20;
/// Hosts of the largest site beside its owner.
const HOSTS: usize = 146;
/// Hosts that may claim within one round trip to the store.
const CLAIMS_AT_ONCE_MAX: usize = 5;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn owner() -> OwnerRow {
    let record = OwnerRecord {
        host: name("owner"),
        term: 65_536,
        released: false,
    };
    OwnerRow { record, offset: 0 }
}

/// What the owner's process does with an inquiry.
#[derive(Clone, Copy)]
enum OwnerAnswer {
    /// It is gone, and its machine refuses the connection.
    Refused,
    /// It is frozen or cut off.
    Never,
    /// It has lost its term, or does not renew leases.
    Unproved { after_ms: u64 },
    /// It proves that it is at work.
    AtWork { after_ms: u64 },
}

/// What happens to an owner and to the host that watches it.
struct Scene {
    /// Times at which the owner's heartbeats reach the store, in ms.
    heartbeats_ms: Vec<u64>,
    /// How the owner answers an inquiry that arrives at a time.
    answer: fn(u64) -> OwnerAnswer,
    /// When the watching host does not run, in ms; empty if it always does.
    stopped_ms: RangeInclusive<u64>,
}

/// A host that watches the owner.
struct WatchingHost {
    timer: ElectionTimer,
    /// When the follower's open read was sent, or is sent next.
    asked_ms: u64,
    /// Number of heartbeats that it has read.
    read: usize,
    /// Part of the polling interval by which this host's polls are shifted, in ms.
    phase_ms: u64,
    /// The inquiry in flight, its end, and whether it proves the owner to be at work.
    inquiry: Option<(u64, u64, bool)>,
}

impl WatchingHost {
    fn new(host: &str, rank: f64, phase_ms: u64) -> Self {
        let mut timer = ElectionTimer::new(name(host), rank);
        timer.record_store_answer(0);
        timer.record_ready(0);
        Self {
            timer,
            asked_ms: 0,
            read: 0,
            phase_ms,
            inquiry: None,
        }
    }

    /// Returns when the host claims the pool, if it does.
    fn claim_ms(mut self, scene: &Scene) -> Option<u64> {
        let mut times = (0..OBSERVED_MS).step_by(STEP_MS as usize);
        times.find(|now_ms| !scene.stopped_ms.contains(now_ms) && self.claims(*now_ms, scene))
    }

    fn claims(&mut self, now_ms: u64, scene: &Scene) -> bool {
        self.follow(now_ms, scene);
        if let Some((asked_ms, _, at_work)) = self.inquiry.take_if(|(_, end, _)| *end <= now_ms) {
            self.timer.record_inquiry_outcome(asked_ms, now_ms, at_work);
        }
        if now_ms % POLL_MS != self.phase_ms {
            return false;
        }
        self.timer.record_poll(now_ms);
        match self.timer.next_step(Some(&owner()), now_ms, 0, LEASE_MS) {
            ElectionStep::Wait => false,
            ElectionStep::Claim => true,
            ElectionStep::AskOwner => {
                self.ask(now_ms, scene);
                false
            }
        }
    }

    /// Reads the stream as a follower does.
    fn follow(&mut self, now_ms: u64, scene: &Scene) {
        if now_ms < self.asked_ms {
            return;
        }
        let unread = &scene.heartbeats_ms[self.read..];
        let count = unread.iter().filter(|at| **at <= now_ms).count();
        self.read += count;
        if count > 0 {
            self.timer.record_owner_heartbeat(now_ms);
        }
        if count > 0 || now_ms >= self.asked_ms + READ_WAIT_MS {
            self.timer.record_store_answer(now_ms);
            let pause_ms = if count > 0 { READ_PAUSE_MS } else { 0 };
            self.asked_ms = now_ms + pause_ms;
        }
    }

    fn ask(&mut self, now_ms: u64, scene: &Scene) {
        self.timer.record_inquiry(now_ms);
        let (after_ms, at_work) = match (scene.answer)(now_ms) {
            OwnerAnswer::Refused => (STEP_MS, false),
            OwnerAnswer::Never => (INQUIRY_TIMEOUT_MS, false),
            OwnerAnswer::Unproved { after_ms } => (after_ms, false),
            OwnerAnswer::AtWork { after_ms } => (
                after_ms.min(INQUIRY_TIMEOUT_MS),
                after_ms < INQUIRY_TIMEOUT_MS,
            ),
        };
        self.inquiry = Some((now_ms, now_ms + after_ms, at_work));
    }
}

/// Heartbeats each `interval_ms` up to `until_ms`.
fn heartbeats(interval_ms: u64, until_ms: u64) -> Vec<u64> {
    (0..=until_ms).step_by(interval_ms as usize).collect()
}

struct SilenceCase {
    name: &'static str,
    scene: Scene,
    /// When the first host claims, in ms; none if it must not.
    claims_ms: Option<RangeInclusive<u64>>,
}

const RUNNING: RangeInclusive<u64> = OBSERVED_MS..=OBSERVED_MS;

fn at_work(_: u64) -> OwnerAnswer {
    OwnerAnswer::AtWork { after_ms: 300 }
}

/// Guards against false changes of the owner: one that was alive and at work was replaced because its
/// heartbeats came late, and each change costs the pool seconds of placement.
#[test]
fn owner_that_is_at_work_keeps_the_pool_and_a_lost_one_is_replaced_in_time() {
    // The last heartbeat comes at 1,800 ms.
    let last = || heartbeats(HEARTBEAT_MS, 2_000);
    let cases = [
        SilenceCase {
            name: "heartbeats in time",
            scene: Scene {
                heartbeats_ms: heartbeats(HEARTBEAT_MS, OBSERVED_MS),
                answer: |_| OwnerAnswer::Never,
                stopped_ms: RUNNING,
            },
            claims_ms: None,
        },
        SilenceCase {
            name: "heartbeats come each 1,100 ms; no inquiry adds to the owner's load",
            scene: Scene {
                heartbeats_ms: heartbeats(1_100, OBSERVED_MS),
                answer: |_| panic!("an owner that is 1,100 ms late is asked"),
                stopped_ms: RUNNING,
            },
            claims_ms: None,
        },
        SilenceCase {
            name: "heartbeats come after 780 and 1,010 ms in turn, and no inquiry is answered",
            scene: Scene {
                heartbeats_ms: (0..10)
                    .flat_map(|turn| [turn * 1_790, turn * 1_790 + 780])
                    .collect(),
                answer: |_| OwnerAnswer::Never,
                stopped_ms: RUNNING,
            },
            claims_ms: None,
        },
        SilenceCase {
            name: "heartbeats come each 1,900 ms, and inquiries are answered",
            scene: Scene {
                heartbeats_ms: heartbeats(1_900, OBSERVED_MS),
                answer: at_work,
                stopped_ms: RUNNING,
            },
            claims_ms: None,
        },
        SilenceCase {
            name: "killed",
            scene: Scene {
                heartbeats_ms: last(),
                answer: |_| OwnerAnswer::Refused,
                stopped_ms: RUNNING,
            },
            claims_ms: Some(3_200..=3_500),
        },
        SilenceCase {
            name: "killed after it has answered",
            scene: Scene {
                heartbeats_ms: last(),
                answer: |now_ms| match now_ms {
                    0..3_200 => OwnerAnswer::AtWork { after_ms: 10 },
                    _ => OwnerAnswer::Refused,
                },
                stopped_ms: RUNNING,
            },
            claims_ms: Some(3_200..=3_500 + INQUIRY_TIMEOUT_MS),
        },
        SilenceCase {
            name: "frozen or cut off",
            scene: Scene {
                heartbeats_ms: last(),
                answer: |_| OwnerAnswer::Never,
                stopped_ms: RUNNING,
            },
            claims_ms: Some(3_200..=3_500 + INQUIRY_TIMEOUT_MS),
        },
        SilenceCase {
            name: "frozen after it has answered",
            scene: Scene {
                heartbeats_ms: last(),
                answer: |now_ms| match now_ms {
                    0..3_200 => OwnerAnswer::AtWork { after_ms: 10 },
                    _ => OwnerAnswer::Never,
                },
                stopped_ms: RUNNING,
            },
            // A silence of 2,025 ms is the limit even if it had kept answering.
            claims_ms: Some(3_200..=3_500 + INQUIRY_TIMEOUT_MS),
        },
        SilenceCase {
            name: "answers, but without its term or without renewing leases",
            scene: Scene {
                heartbeats_ms: last(),
                answer: |_| OwnerAnswer::Unproved { after_ms: 10 },
                stopped_ms: RUNNING,
            },
            claims_ms: Some(3_200..=3_500),
        },
        SilenceCase {
            name: "cut off from the store, but answers: replaced before leases lapse",
            scene: Scene {
                heartbeats_ms: last(),
                answer: at_work,
                stopped_ms: RUNNING,
            },
            claims_ms: Some(3_600..=1_800 + LEASE_MS),
        },
        SilenceCase {
            name: "the watching host itself was stopped for a second",
            scene: Scene {
                heartbeats_ms: vec![0, 450, 3_000, 3_450],
                answer: |_| OwnerAnswer::Refused,
                stopped_ms: 500..=1_600,
            },
            // 2,550 ms without a heartbeat, of which the host has run 1,400 ms or so.
            claims_ms: Some(2_800..=3_000),
        },
    ];
    for case in cases {
        let claimed_ms = WatchingHost::new("host", 0.0, 0).claim_ms(&case.scene);
        match case.claims_ms {
            None => assert_eq!(claimed_ms, None, "{}", case.name),
            Some(range) => assert!(
                claimed_ms.is_some_and(|at_ms| range.contains(&at_ms)),
                "{}: claimed at {claimed_ms:?}, expected within {range:?}",
                case.name
            ),
        }
    }
}

/// Guards against hosts that claim in the same instant: the store answers the reads of all hosts at
/// the same time, so that a stagger shorter than a held read did not separate them.
#[test]
fn many_hosts_do_not_claim_at_once_when_the_owner_is_killed() {
    let scene = Scene {
        heartbeats_ms: heartbeats(HEARTBEAT_MS, 2_000),
        answer: |_| OwnerAnswer::Refused,
        stopped_ms: RUNNING,
    };
    // Distinct ranks of large hosts, without the very first one.
    let rank = |index: usize| (1 + index) as f64 / (1 + HOSTS) as f64 * 0.4;
    let claim_ms = |index: usize| {
        let phase_ms = (index as u64 * STEP_MS) % POLL_MS;
        let host = WatchingHost::new(&format!("host-{index}"), rank(index), phase_ms);
        host.claim_ms(&scene).expect("a claim")
    };
    let mut claims: Vec<u64> = (0..HOSTS).map(claim_ms).collect();
    claims.sort_unstable();
    let at_once = claims
        .iter()
        .filter(|at| **at < claims[0] + ROUND_TRIP_MS)
        .count();
    assert!(
        at_once <= CLAIMS_AT_ONCE_MAX,
        "{at_once} hosts claim at once: {claims:?}"
    );
}
