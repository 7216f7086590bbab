//! Tests of the decisions on who is admitted to a listener and who gives way, without a network.

use hemlockramp::work::intake::ledger::{
    ConnectionId, EvictedConnection, IntakeFull, IntakeLedger, STALL_MS,
};
use hemlockramp::work::intake::limits::{IntakeLimits, MachineLimits};

/// Bounds of the ledgers of these tests.
const LIMITS: IntakeLimits = IntakeLimits {
    connections_max: 3,
    held_max_bytes: 400,
    backlog: 32,
};

/// A step of a case; connections are numbered from 1 in the order in which they open.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Opens a connection.
    Open,
    /// Opens a connection for which another is closed.
    OpenFor(ConnectionId),
    /// Fails to open a connection.
    Refused,
    Receive(ConnectionId),
    Serve(ConnectionId),
    Rest(ConnectionId),
    Progress(ConnectionId),
    Close(ConnectionId),
    /// Grants a connection bytes, for which another gives way if one is named.
    Grow(ConnectionId, usize, Option<ConnectionId>),
    /// Grants a connection no bytes.
    NoRoom(ConnectionId, usize),
    Release(ConnectionId, usize),
    /// Lets time pass, in ms.
    Wait(u64),
    /// The bytes that are held.
    Held(usize),
    /// Whether others may be waiting for a place.
    Contended(bool),
    /// Whether a new connection would be admitted.
    Place(bool),
}

struct LedgerCase {
    name: &'static str,
    steps: &'static [Step],
}

use Step::{Close, Grow, Held, NoRoom, Open, OpenFor, Progress, Receive, Refused, Release, Rest};
use Step::{Contended, Place, Serve, Wait};

const CASES: [LedgerCase; 16] = [
    LedgerCase {
        name: "fresh connections are not closed for new ones",
        steps: &[Open, Open, Open, Wait(STALL_MS - 1), Refused],
    },
    LedgerCase {
        name: "the connection without a head for longest is closed",
        steps: &[Open, Wait(1), Open, Open, Wait(STALL_MS), OpenFor(1)],
    },
    LedgerCase {
        name: "idle connections outlast those that have never asked",
        steps: &[
            Open,
            Rest(1),
            Wait(1),
            Open,
            Open,
            Wait(STALL_MS),
            OpenFor(2),
        ],
    },
    LedgerCase {
        name: "a request that was read whole is never cut off",
        steps: &[
            Open,
            Open,
            Open,
            Serve(1),
            Serve(2),
            Serve(3),
            Wait(60_000),
            Refused,
        ],
    },
    LedgerCase {
        name: "a place is free once its connection is closed",
        steps: &[Open, Open, Open, Close(2), Open],
    },
    LedgerCase {
        name: "new connections wait while all places are busy",
        steps: &[
            Place(true),
            Open,
            Open,
            Open,
            Place(false),
            Wait(STALL_MS),
            Place(true),
            Rest(1),
            Serve(2),
            Serve(3),
            Place(false),
            Close(2),
            Place(true),
        ],
    },
    LedgerCase {
        name: "answered connections make room for all that wait",
        steps: &[
            Open,
            Open,
            Contended(false),
            Open,
            Contended(true),
            Close(1),
            Contended(true),
            Wait(999),
            Contended(true),
            Wait(1),
            Contended(false),
        ],
    },
    LedgerCase {
        name: "places that are taken again stay contended",
        steps: &[
            Open,
            Open,
            Open,
            Wait(900),
            Close(1),
            Open,
            Wait(900),
            Contended(true),
        ],
    },
    LedgerCase {
        name: "the body that has stalled for longest gives way",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 150, None),
            Wait(1),
            Open,
            Receive(2),
            Grow(2, 150, None),
            Wait(STALL_MS),
            Open,
            Receive(3),
            Grow(3, 200, Some(1)),
            Held(350),
        ],
    },
    LedgerCase {
        name: "progress protects a body that holds less",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 150, None),
            Open,
            Receive(2),
            Grow(2, 150, None),
            Wait(STALL_MS),
            Progress(1),
            Open,
            Receive(3),
            Grow(3, 200, Some(2)),
        ],
    },
    LedgerCase {
        name: "where none has stalled, a small body takes from the largest",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 100, None),
            Grow(1, 150, None),
            Open,
            Receive(2),
            Grow(2, 100, None),
            Open,
            Receive(3),
            Grow(3, 60, Some(1)),
            Held(160),
        ],
    },
    LedgerCase {
        name: "a body that holds more than the others is refused",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 150, None),
            Open,
            Receive(2),
            Grow(2, 140, None),
            NoRoom(2, 100),
            Held(290),
        ],
    },
    LedgerCase {
        name: "bodies that wait for their answer keep their room",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 400, None),
            Serve(1),
            Wait(60_000),
            Open,
            Receive(2),
            NoRoom(2, 1),
            Release(1, 400),
            Grow(2, 1, None),
        ],
    },
    LedgerCase {
        name: "an evicted connection gets nothing more",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 300, None),
            Wait(STALL_MS),
            Open,
            Receive(2),
            Grow(2, 200, Some(1)),
            Serve(1),
            NoRoom(1, 1),
            Close(1),
            Held(200),
        ],
    },
    LedgerCase {
        name: "the bytes of evicted bodies count until they are closed",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 300, None),
            Wait(STALL_MS),
            Open,
            Receive(2),
            Grow(2, 350, Some(1)),
            Wait(STALL_MS),
            Open,
            Receive(3),
            NoRoom(3, 350),
            Close(1),
            Grow(3, 350, Some(2)),
        ],
    },
    LedgerCase {
        name: "the last quarter is for bodies that hold nothing yet",
        steps: &[
            Open,
            Receive(1),
            Grow(1, 250, None),
            Grow(1, 50, None),
            NoRoom(1, 1),
            Open,
            Receive(2),
            Grow(2, 100, None),
        ],
    },
];

fn evicted_ids(evicted: &[EvictedConnection]) -> Vec<ConnectionId> {
    evicted.iter().map(|connection| connection.id).collect()
}

fn apply(ledger: &mut IntakeLedger, step: Step, now_ms: &mut u64, what: &str) {
    let now = *now_ms;
    match step {
        Open | OpenFor(_) => {
            let wanted = match step {
                OpenFor(id) => Some(id),
                _ => None,
            };
            let (_, evicted) = ledger.open(now).expect(what);
            assert_eq!(evicted.map(|connection| connection.id), wanted, "{what}");
        }
        Refused => assert_eq!(ledger.open(now), Err(IntakeFull), "{what}"),
        Receive(id) => ledger.receive(id, now),
        Serve(id) => ledger.serve(id, now),
        Rest(id) => ledger.rest(id, now),
        Progress(id) => ledger.progress(id, now),
        Close(id) => ledger.close(id),
        Grow(id, bytes, wanted) => {
            let decision = ledger.grow(id, bytes, now);
            assert!(decision.granted, "{what}");
            let wanted: Vec<ConnectionId> = wanted.into_iter().collect();
            assert_eq!(evicted_ids(&decision.evicted), wanted, "{what}");
        }
        NoRoom(id, bytes) => assert!(!ledger.grow(id, bytes, now).granted, "{what}"),
        Release(id, bytes) => ledger.release(id, bytes),
        Wait(ms) => *now_ms += ms,
        Contended(contended) => assert_eq!(ledger.is_contended(now), contended, "{what}"),
        Place(place) => assert_eq!(ledger.has_place(now), place, "{what}"),
        Held(bytes) => assert_eq!(ledger.held_bytes(), bytes, "{what}"),
    }
}

#[test]
fn who_gives_way() {
    for case in CASES {
        let mut ledger = IntakeLedger::new(LIMITS);
        let mut now_ms = 10_000;
        for (index, step) in case.steps.iter().enumerate() {
            let what = format!("{}: step {index}, {step:?}", case.name);
            apply(&mut ledger, *step, &mut now_ms, &what);
        }
    }
}

/// Whoever gives way, the held bytes stay within the bound, and closing all connections frees all.
#[test]
fn held_bytes_stay_within_the_bound() {
    let limits = IntakeLimits {
        connections_max: 100,
        held_max_bytes: 1_000_000,
        backlog: 32,
    };
    let mut ledger = IntakeLedger::new(limits);
    for round in 0..10_000_u64 {
        let now_ms = round * 7;
        if let Ok((id, _)) = ledger.open(now_ms) {
            ledger.receive(id, now_ms);
        }
        let id = round * 31 % 300 + 1;
        ledger.grow(id, (round as usize * 977) % 60_000, now_ms);
        if round % 3 == 0 {
            ledger.close(round * 17 % 300 + 1);
        }
        assert!(ledger.held_bytes() <= limits.held_max_bytes, "{round}");
        assert!(ledger.connections() <= 112, "{round}");
    }
    (1..=10_000).for_each(|id| ledger.close(id));
    assert_eq!((ledger.held_bytes(), ledger.connections()), (0, 0));
}

struct MachineCase {
    memory_mb: u64,
    descriptors: u64,
    callers: usize,
    peers: usize,
    probes: usize,
}

/// All listeners together leave a fifth of the sockets to upstreams and the store, and
/// hold bodies
/// of at most a sixth of the memory.
#[test]
fn listeners_share_the_machine() {
    let case = |memory_mb, descriptors, callers, peers, probes| MachineCase {
        memory_mb,
        descriptors,
        callers,
        peers,
        probes,
    };
    let cases = [
        case(48, 400, 100, 25, 8),
        case(120, 3_075, 640, 359, 32),
        case(260, 4_100, 1_386, 487, 32),
        case(512, 10_250, 2_730, 1_256, 32),
    ];
    for case in cases {
        let machine = MachineLimits::new(case.memory_mb, case.descriptors);
        let intakes = [
            machine.caller_intake(),
            machine.peer_intake(),
            machine.probe_intake(),
        ];
        let connections = intakes.map(|limits| limits.connections_max);
        let what = format!("{} MB", case.memory_mb);
        assert_eq!(
            connections,
            [case.callers, case.peers, case.probes],
            "{what}"
        );
        let sockets = case.descriptors as usize - 200;
        let taken: usize = connections.iter().sum::<usize>() + case.probes;
        assert!(taken * 9 / 8 <= sockets * 4 / 5, "{what}: {taken}");
        let held: usize = intakes.iter().map(|limits| limits.held_max_bytes).sum();
        assert!(held <= machine.memory_bytes / 6, "{what}: {held}");
    }
}

/// Each machine's sockets are enough for all that its host may open at once, and idle connections take
/// only what the others leave.
#[test]
fn idle_connections_take_what_is_left() {
    struct IdleCase {
        memory_mb: u64,
        descriptors: u64,
        idle: usize,
    }
    let cases = [
        IdleCase {
            memory_mb: 48,
            descriptors: 400,
            idle: 2,
        },
        IdleCase {
            memory_mb: 120,
            descriptors: 3_075,
            idle: 1_536,
        },
        IdleCase {
            memory_mb: 160,
            descriptors: 4_100,
            idle: 2_178,
        },
    ];
    for case in cases {
        let machine = MachineLimits::new(case.memory_mb, case.descriptors);
        let what = format!("{} descriptors", case.descriptors);
        let idle = machine.idle_connections_max();
        let callers = machine.caller_intake().sockets_max();
        let peers = machine.peer_intake().sockets_max();
        let probes = 2 * machine.probe_intake().sockets_max();
        let own = 16 + 2 * machine.store_calls_max();
        let sockets = case.descriptors as usize - 200;
        assert!(callers + peers + probes + own + idle <= sockets, "{what}");
        assert_eq!(idle, case.idle, "{what}");
    }
}
