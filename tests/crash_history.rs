//! Tests of what follows from runs that were lost with their upstreams.

use std::net::SocketAddr;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::crash_record::{LossRecord, UpstreamLife};
use hemlockramp::work::owner::crash_history::CrashHistory;
use hemlockramp::work::placing::placement::Isolation;

/// Waiting time after which isolation is no longer required, in ms: above the longest one.
const LONG_WAIT_MS: u64 = 60_000;

/// An event in the history of one task.
#[derive(Clone, Copy)]
enum Event {
    /// A run is lost on upstream `u<index>` in its first life.
    Lost(u16),
    /// The same, and the upstream had not confirmed the run.
    LostUnconfirmed(u16),
    /// The upstream is back under its name.
    Back(u16),
    /// An upstream with another name appears at its address.
    BackRenamed(u16),
    /// The upstream answers again in the same life.
    AnswersAgain(u16),
}

use Event::{AnswersAgain, Back, BackRenamed, Lost, LostUnconfirmed};

struct HistoryCase {
    name: &'static str,
    events: &'static [Event],
    isolation: Isolation,
    suspect: bool,
}

fn life(name: &str, index: u16, incarnation: u64) -> UpstreamLife {
    UpstreamLife {
        upstream: ObjectName::try_from(name).expect("a valid name"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 1_000 + index))),
        incarnation,
    }
}

fn apply(history: &mut CrashHistory, event: Event) {
    let own = |index: u16, incarnation| life(&format!("u{index}"), index, incarnation);
    let lost = |index, started| LossRecord {
        life: own(index, 1),
        started,
    };
    match event {
        Lost(index) => history.add_loss(0, lost(index, true)),
        LostUnconfirmed(index) => history.add_loss(0, lost(index, false)),
        Back(index) => {
            history.resolve(&own(index, 2));
        }
        BackRenamed(index) => {
            history.resolve(&life("renamed", index, 2));
        }
        AnswersAgain(index) => {
            history.refute(&own(index, 1));
        }
    }
}

#[test]
fn lost_runs_lead_to_isolation_and_proved_crashes_to_rarer_restarts() {
    let case = |name, events, isolation, suspect| HistoryCase {
        name,
        events,
        isolation,
        suspect,
    };
    let cases = [
        case("nothing lost", &[][..], Isolation::None, false),
        case("one open loss", &[Lost(0)], Isolation::None, false),
        case(
            "one crash",
            &[Lost(0), Back(0)],
            Isolation::Preferred,
            false,
        ),
        case(
            "two losses",
            &[Lost(0), Lost(1)],
            Isolation::Required,
            false,
        ),
        case(
            "two cuts that heal",
            &[Lost(0), Lost(1), AnswersAgain(0), AnswersAgain(1)],
            Isolation::None,
            false,
        ),
        case(
            "three crashes",
            &[Lost(0), Back(0), Lost(1), BackRenamed(1), Lost(2), Back(2)],
            Isolation::Required,
            true,
        ),
        case(
            "three crashes before any start was confirmed",
            &[
                LostUnconfirmed(0),
                LostUnconfirmed(1),
                LostUnconfirmed(2),
                Back(0),
                Back(1),
                BackRenamed(2),
            ],
            Isolation::Required,
            false,
        ),
        case(
            "another upstream is back",
            &[Lost(0), Lost(1), Lost(2), Back(3), Back(4), BackRenamed(5)],
            Isolation::Required,
            false,
        ),
        case(
            "three losses",
            &[Lost(0), Lost(1), Lost(2)],
            Isolation::Required,
            false,
        ),
        case(
            "four losses",
            &[Lost(0), Lost(1), Lost(2), Lost(3)],
            Isolation::Required,
            true,
        ),
        case(
            "five losses",
            &[Lost(0), Lost(1), Lost(2), Lost(3), Lost(4)],
            Isolation::Required,
            true,
        ),
    ];
    for case in cases {
        let mut history = CrashHistory::default();
        for event in case.events {
            apply(&mut history, *event);
        }
        let restored = CrashHistory::from(history.rows());
        for mut history in [history, restored] {
            let pause_ms = history.restart_pause_ms(false);
            let isolation = |waited_ms| history.isolation(waited_ms, pause_ms);
            assert_eq!(isolation(0), case.isolation, "{}", case.name);
            assert_eq!(isolation(pause_ms), case.isolation, "{}", case.name);
            assert_ne!(
                isolation(LONG_WAIT_MS),
                Isolation::Required,
                "{}",
                case.name
            );
            assert_eq!(history.is_suspect(), case.suspect, "{}", case.name);
            assert_eq!(pause_ms > 0, case.suspect, "{}", case.name);
            if case.suspect {
                apply(&mut history, Lost(6));
                apply(&mut history, Back(6));
                let next_ms = history.restart_pause_ms(false);
                assert!(next_ms >= 4 * pause_ms, "{}: {next_ms} ms", case.name);
            }
        }
    }
}
