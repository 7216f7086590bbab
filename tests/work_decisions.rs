//! Tests of the scheduler's pure decision functions: placement, preemption, queue order, slowdown,
//! owner election, store health and headroom.

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::load::fair_share::ShareLevel;
use hemlockramp::work::load::queue_order::{WaitingUnit, order_key};
use hemlockramp::work::load::victims::{VictimUnit, choose_victims};
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::record::{HostRecord, OwnerRecord};
use hemlockramp::work::model::task_ref::TaskRef;
use hemlockramp::work::placing::headroom::required_headroom;
use hemlockramp::work::placing::locality_wait::LocalityWait;
use hemlockramp::work::placing::placement::{
    CandidateUpstream, CapacityClaim, UnitDemand, claim_rank, place_unit,
};
use hemlockramp::work::placing::slowdown::UpstreamSlowdown;
use hemlockramp::work::state::election::{ElectionTimer, next_term, should_step_down};
use hemlockramp::work::state::jobs_view::{HostRow, OwnerRow};
use hemlockramp::work::store::health::StoreHealth;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn need(accelerators: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_milli: 1_000,
        memory_mb: 1_000,
        accelerators,
    }
}

fn upstream_capacity() -> ResourceAmount {
    ResourceAmount {
        cpu_milli: 64_000,
        memory_mb: 128_000,
        accelerators: 8,
    }
}

/// Returns upstreams `u0..` in racks of `rack` upstreams each, with `free` accelerators free.
fn candidates(free: &[u64], rack: usize) -> Vec<CandidateUpstream> {
    let one = |(index, free): (usize, &u64)| CandidateUpstream {
        name: name(&format!("u{index}")),
        rack: Some(name(&format!("r{}", index / rack))),
        labels: vec![name("a")],
        capacity: upstream_capacity(),
        free: ResourceAmount {
            accelerators: *free,
            ..upstream_capacity()
        },
        failure_score: 0.0,
        slowdown: UpstreamSlowdown::default(),
        reserved: None,
    };
    free.iter().enumerate().map(one).collect()
}

fn claim(job: &str, priority: u32) -> CapacityClaim {
    CapacityClaim {
        job: name(job),
        unit: 0,
        rank: claim_rank(priority, false),
    }
}

fn gang(count: usize, accelerators: u64) -> UnitDemand {
    UnitDemand {
        count,
        need: need(accelerators),
        same_rack: true,
        ..UnitDemand::default()
    }
}

struct PlacementCase {
    what: &'static str,
    demand: UnitDemand,
    free: &'static [u64],
    rack: usize,
    chosen: Option<&'static [usize]>,
}

#[test]
fn placement_limits_fragmentation_of_upstreams_and_racks() {
    let single = |accelerators| UnitDemand {
        count: 1,
        ..gang(1, accelerators)
    };
    let cases = [
        PlacementCase {
            what: "a small task goes to the fullest upstream that can hold it",
            demand: single(1),
            free: &[8, 3, 0, 5],
            rack: 2,
            chosen: Some(&[1]),
        },
        PlacementCase {
            what: "a gang goes to the rack that is left with the least free capacity",
            demand: gang(2, 4),
            free: &[8, 8, 4, 4, 8, 0],
            rack: 2,
            chosen: Some(&[2, 3]),
        },
        PlacementCase {
            what: "a gang waits for a rack rather than span racks",
            demand: gang(2, 8),
            free: &[8, 0, 8, 0],
            rack: 2,
            chosen: None,
        },
        PlacementCase {
            what: "a gang that may span racks does so",
            demand: UnitDemand {
                may_span_racks: true,
                ..gang(2, 8)
            },
            free: &[8, 0, 8, 0],
            rack: 2,
            chosen: Some(&[0, 2]),
        },
        PlacementCase {
            what: "work waits for the rack with its data",
            demand: UnitDemand {
                data_rack: Some(name("r1")),
                ..single(2)
            },
            free: &[8, 8, 1, 1],
            rack: 2,
            chosen: None,
        },
        PlacementCase {
            what: "a step with a spread limit avoids upstreams of its siblings",
            demand: UnitDemand {
                spread_max: 1,
                siblings: [name("u0")].into_iter().collect(),
                ..single(1)
            },
            free: &[2, 5],
            rack: 2,
            chosen: Some(&[1]),
        },
        PlacementCase {
            what: "an upstream where the task failed is taken last",
            demand: UnitDemand {
                avoided_upstreams: vec![name("u0")],
                ..single(1)
            },
            free: &[1, 8],
            rack: 2,
            chosen: Some(&[1]),
        },
        PlacementCase {
            what: "an upstream without the label is not taken",
            demand: UnitDemand {
                label: Some(name("b")),
                ..single(1)
            },
            free: &[8],
            rack: 1,
            chosen: None,
        },
    ];
    for case in cases {
        let candidates = candidates(case.free, case.rack);
        let chosen = place_unit(&case.demand, &claim("j", 1), &candidates);
        assert_eq!(chosen.as_deref(), case.chosen, "{}", case.what);
    }
}

#[test]
fn reserved_capacity_admits_its_claimant_and_more_urgent_units() {
    let mut candidates = candidates(&[8], 1);
    candidates[0].reserved = Some(claim("gang", 1));
    let place = |job, priority| place_unit(&gang(1, 8), &claim(job, priority), &candidates);
    assert_eq!(place("gang", 1), Some(vec![0]));
    assert_eq!(place("urgent", 0), Some(vec![0]));
    assert_eq!(
        place("other", 1),
        None,
        "another gang of equal priority takes no reserved capacity"
    );
    assert_eq!(
        place("batch", 2),
        None,
        "less urgent work takes no reserved capacity"
    );
}

fn victim(upstreams: &[usize], accelerators: u64, lost_work: u64, priority: u32) -> VictimUnit {
    VictimUnit {
        upstreams: upstreams.to_vec(),
        need: need(accelerators),
        lost_work,
        rank: claim_rank(priority, false),
    }
}

struct VictimCase {
    what: &'static str,
    demand: UnitDemand,
    victims: Vec<VictimUnit>,
    chosen: Option<&'static [usize]>,
}

/// Load: an urgent gang on a pool full of small work. Guards against excessive preemption: 48 units
/// were preempted for one gang; and against none at all, where a large unit frees several slots.
#[test]
fn preemption_loses_the_least_work() {
    let cases = [
        VictimCase {
            what: "the upstream whose units lose the least work",
            demand: gang(1, 8),
            victims: vec![
                victim(&[0], 4, 900, 2),
                victim(&[0], 4, 10, 2),
                victim(&[1], 4, 100, 2),
                victim(&[1], 4, 120, 2),
            ],
            chosen: Some(&[2, 3]),
        },
        VictimCase {
            what: "no more units than needed",
            demand: gang(1, 4),
            victims: vec![victim(&[0], 4, 50, 2), victim(&[0], 4, 60, 2)],
            chosen: Some(&[0]),
        },
        VictimCase {
            what: "two upstreams of one rack for a gang",
            demand: gang(2, 8),
            victims: vec![
                victim(&[0], 8, 1, 2),
                victim(&[1], 8, 500, 2),
                victim(&[2], 8, 100, 2),
                victim(&[3], 8, 100, 2),
            ],
            chosen: Some(&[2, 3]),
        },
        VictimCase {
            what: "a unit on both upstreams is listed once",
            demand: gang(2, 8),
            victims: vec![victim(&[0, 1], 8, 100, 1)],
            chosen: Some(&[0]),
        },
        VictimCase {
            what: "no unit if preemption cannot make the gang fit",
            demand: gang(2, 8),
            victims: vec![victim(&[0], 8, 100, 2), victim(&[2], 8, 100, 2)],
            chosen: None,
        },
        VictimCase {
            what: "the unit that frees the first slot, though the next slots there lose nothing more",
            demand: gang(4, 2),
            victims: vec![
                victim(&[0], 8, 300, 2),
                victim(&[1], 8, 200, 2),
                victim(&[2], 8, 400, 2),
                victim(&[3], 8, 500, 2),
            ],
            chosen: Some(&[1]),
        },
        VictimCase {
            what: "a large unit in place of many that lose more together",
            demand: gang(2, 4),
            victims: vec![
                victim(&[0], 8, 150, 2),
                victim(&[1], 4, 100, 2),
                victim(&[1], 4, 100, 2),
            ],
            chosen: Some(&[0]),
        },
        VictimCase {
            what: "no large unit for a single slot that a small one can free",
            demand: gang(3, 4),
            victims: vec![
                victim(&[0], 8, 150, 2),
                victim(&[2], 8, 900, 2),
                victim(&[1], 4, 120, 2),
                victim(&[1], 4, 130, 2),
            ],
            chosen: Some(&[0, 2]),
        },
    ];
    for case in cases {
        let candidates = candidates(&[0, 0, 0, 0], 2);
        let victims: Vec<&VictimUnit> = case.victims.iter().collect();
        let chosen = choose_victims(&case.demand, &claim("j", 0), &candidates, &victims);
        assert_eq!(chosen.as_deref(), case.chosen, "{}", case.what);
    }
}

#[test]
fn queue_order_puts_urgent_work_first_and_expired_work_last() {
    let plain = WaitingUnit {
        priority: 1,
        guaranteed: false,
        slack_ms: 5_000,
        expired: false,
        work: 1_000_000_000,
        job_started: false,
        share: ShareLevel::Within,
    };
    let order = [
        WaitingUnit {
            priority: 0,
            guaranteed: true,
            slack_ms: -10,
            ..plain.clone()
        },
        WaitingUnit {
            priority: 0,
            ..plain.clone()
        },
        WaitingUnit {
            work: 1_000_000,
            ..plain.clone()
        },
        plain.clone(),
        WaitingUnit {
            slack_ms: -1,
            ..plain.clone()
        },
        WaitingUnit {
            priority: 2,
            ..plain.clone()
        },
        WaitingUnit {
            priority: 0,
            expired: true,
            ..plain.clone()
        },
    ];
    assert!(order.is_sorted_by_key(order_key), "{order:#?}");
}

fn owner(host: &str, released: bool) -> OwnerRow {
    OwnerRow {
        record: OwnerRecord {
            host: name(host),
            term: 1,
            released,
        },
        offset: 0,
    }
}

#[test]
fn owner_silence_triggers_election_but_store_silence_does_not() {
    let mut timer = ElectionTimer::new(name("a"), 0.0);
    let other = owner("b", false);
    assert!(
        !timer.should_claim(None, 0, 0),
        "claimed before the store answered"
    );
    timer.record_store_answer(0);
    assert!(timer.should_claim(None, 0, 0));
    assert!(
        timer.should_claim(Some(&owner("b", true)), 0, 0),
        "the previous owner released the pool"
    );
    assert!(!timer.should_claim(Some(&other), 0, 0));
    for now_ms in (0..1_300).step_by(100) {
        timer.record_store_answer(now_ms);
    }
    assert!(!timer.should_claim(Some(&other), 1_200, 0));
    // The store is unavailable for ten seconds; this does not count as silence of the owner.
    timer.record_store_answer(11_200);
    assert!(!timer.should_claim(Some(&other), 11_200, 0));
    for now_ms in (11_200..11_600).step_by(100) {
        timer.record_store_answer(now_ms);
    }
    assert!(timer.should_claim(Some(&other), 11_500, 0));
    timer.record_owner_heartbeat(11_500);
    assert!(!timer.should_claim(Some(&other), 11_500, 0));
}

/// All hosts start at once while the store holds their reads open. Guards against election of a
/// small host: after the first held read every host was due to claim, and a host with 0.12 core
/// took the pool.
#[test]
fn large_host_claims_vacant_pool_while_store_reads_are_held_open() {
    let mut large = ElectionTimer::new(name("large"), 0.2);
    let mut small = ElectionTimer::new(name("small"), 0.8);
    for timer in [&mut large, &mut small] {
        timer.record_store_answer(0);
        assert!(!timer.should_claim(None, 10, 0));
    }
    assert!(
        large.should_claim(None, 250, 0),
        "the large host claims before its next read is answered"
    );
    // The held read is answered without new records.
    small.record_store_answer(600);
    assert!(!small.should_claim(None, 600, 0));
    assert!(
        small.should_claim(None, 1_000, 0),
        "the small host claims if no large host does"
    );
    // If the pool is released later, the same delay counts from the owner's last heartbeat.
    small.record_owner_heartbeat(5_000);
    assert!(!small.should_claim(Some(&owner("b", true)), 5_100, 0));
    assert!(small.should_claim(Some(&owner("b", true)), 6_000, 0));
}

/// All hosts have read the stream before the first configuration arrives. Guards against election
/// of a small host: every host was due to claim at that moment, and a host with 0.12 core took the
/// pool and kept it.
#[test]
fn large_host_claims_vacant_pool_when_configuration_arrives_late() {
    let mut large = ElectionTimer::new(name("large"), 0.2);
    let mut small = ElectionTimer::new(name("small"), 0.45);
    for timer in [&mut large, &mut small] {
        timer.record_store_answer(0);
        timer.record_ready(900);
        timer.record_ready(1_100);
    }
    assert!(!small.should_claim(None, 1_150, 0));
    assert!(large.should_claim(None, 1_150, 0));
    assert!(
        small.should_claim(None, 1_400, 0),
        "the small host claims if no large host does"
    );
}

/// The store is fifty times slower, so that the owner's heartbeats arrive late. Guards against an
/// election storm: all hosts claimed the pool, and their claims filled the store's queue.
#[test]
fn slow_store_extends_the_ownership_timeout() {
    let mut timer = ElectionTimer::new(name("a"), 0.5);
    let other = owner("b", false);
    timer.record_store_answer(0);
    for now_ms in [600, 1_200, 1_800, 2_400] {
        timer.record_store_answer(now_ms);
    }
    assert!(timer.should_claim(Some(&other), 2_400, 0));
    assert!(!timer.should_claim(Some(&other), 2_400, 1_500));
    for now_ms in [3_000, 3_600, 4_200] {
        timer.record_store_answer(now_ms);
    }
    assert!(timer.should_claim(Some(&other), 4_200, 1_500));
}

/// The store answers slowly and then not at all, while followers always have a read open.
#[test]
fn slow_store_is_not_reported_unavailable() {
    let mut health = StoreHealth::default();
    assert!(!health.is_unavailable(10_000), "no call was sent");
    // Held reads are repeatedly answered late.
    let mut now_ms = 0;
    for _ in 0..5 {
        health.sent(now_ms, 600);
        assert!(!health.is_unavailable(now_ms + 1_000));
        now_ms += 1_000;
        health.answered(now_ms, Some(400));
    }
    assert_eq!(health.allowance_ms(), 1_600);
    // Then the store stops answering.
    health.sent(now_ms, 600);
    assert!(!health.is_unavailable(now_ms + 1_400));
    assert!(health.is_unavailable(now_ms + 1_500));
    health.failed(now_ms + 1_700);
    assert!(health.is_unavailable(now_ms + 1_700));
    // One answer makes it available again.
    health.sent(now_ms + 1_800, 0);
    health.answered(now_ms + 1_810, Some(10));
    assert!(!health.is_unavailable(now_ms + 1_810));
    assert_eq!(health.allowance_ms(), 40);
}

#[test]
fn store_is_unavailable_after_repeated_failures() {
    let mut health = StoreHealth::default();
    health.sent(0, 0);
    health.answered(5, Some(5));
    for now_ms in [100, 200, 300] {
        health.sent(now_ms, 0);
        health.failed(now_ms);
        assert!(!health.is_unavailable(now_ms), "at {now_ms} ms");
    }
    health.sent(400, 0);
    health.failed(400);
    assert!(health.is_unavailable(400));
    assert_eq!(health.retry_after_ms(400, 0.0), 1_000, "short at first");
    assert_eq!(
        health.retry_after_ms(6_005, 0.0),
        3_000,
        "half of the time since the last answer"
    );
    assert_eq!(
        health.retry_after_ms(60_000, 0.5),
        4_500,
        "capped, with jitter"
    );
}

struct StepDownCase {
    what: &'static str,
    own_large: bool,
    large: bool,
    gone: bool,
    offset: u64,
    should_step_down: bool,
}

/// A small host has taken the pool while all large hosts were unavailable.
#[test]
fn small_owner_steps_down_for_a_large_host() {
    let small_owner = StepDownCase {
        what: "steps down for a large host",
        own_large: false,
        large: true,
        gone: false,
        offset: 12,
        should_step_down: true,
    };
    let cases = [
        StepDownCase {
            what: "not for another small host",
            large: false,
            should_step_down: false,
            ..small_owner
        },
        StepDownCase {
            what: "not for a host that has left",
            gone: true,
            should_step_down: false,
            ..small_owner
        },
        StepDownCase {
            what: "not for a host whose record is older than the term",
            offset: 9,
            should_step_down: false,
            ..small_owner
        },
        StepDownCase {
            what: "a large owner keeps the pool",
            own_large: true,
            should_step_down: false,
            ..small_owner
        },
        small_owner,
    ];
    for case in cases {
        let host = HostRow {
            name: name("other"),
            record: HostRecord {
                address: ([127, 0, 0, 1], 1).into(),
                gone: case.gone,
                large: case.large,
            },
            offset: case.offset,
        };
        let should_step_down = should_step_down(case.own_large, &[host], 10);
        assert_eq!(should_step_down, case.should_step_down, "{}", case.what);
    }
}

#[test]
fn next_terms_increase_and_differ_between_candidates() {
    let first = next_term(0, 7);
    assert!(next_term(first, 0) > first);
    assert_ne!(next_term(first, 1), next_term(first, 2));
}

#[test]
fn task_refs_round_trip_through_text() {
    let task = TaskRef {
        job: name("5c0e7a21d94b36f8"),
        round: 0,
        step: 1,
        index: 17,
    };
    let text = task.to_string();
    assert_eq!(text, "5c0e7a21d94b36f8.0.1.17");
    assert_eq!(TaskRef::try_from(text.as_str()).expect("a task"), task);
    for bad in ["", "a", "a.1.2", "a.x.1.2", "a.1.2.-3"] {
        assert!(TaskRef::try_from(bad).is_err(), "{bad:?}");
    }
}

struct HeadroomCase {
    what: &'static str,
    priority: u32,
    urgent: u64,
    headroom: u64,
}

/// Load: urgent gangs arrive steadily on a pool that less urgent work would fill.
#[test]
fn less_urgent_work_keeps_headroom_for_urgent_work() {
    let cases = [
        HeadroomCase {
            what: "a pool without urgent work needs no headroom",
            priority: 2,
            urgent: 0,
            headroom: 0,
        },
        HeadroomCase {
            what: "the least urgent work leaves as much as urgent work uses",
            priority: 2,
            urgent: 40,
            headroom: 40,
        },
        HeadroomCase {
            what: "work of middle priority leaves a quarter of it",
            priority: 1,
            urgent: 40,
            headroom: 10,
        },
        HeadroomCase {
            what: "at most a fifth of the pool",
            priority: 2,
            urgent: 300,
            headroom: 80,
        },
        HeadroomCase {
            what: "urgent work leaves no headroom",
            priority: 0,
            urgent: 300,
            headroom: 0,
        },
    ];
    for case in cases {
        let headroom = required_headroom(case.priority, &need(case.urgent), &need(400));
        assert_eq!(headroom.accelerators, case.headroom, "{}", case.what);
    }
}

struct WaitCase {
    what: &'static str,
    wait: LocalityWait,
    limit_ms: u64,
}

/// Load: gangs that need one rack, on a full pool where stopping a run takes time.
#[test]
fn locality_wait_of_guaranteed_gang_covers_preemption() {
    let plain = LocalityWait {
        guaranteed: false,
        busy: true,
        estimate_ms: 4_000,
        far_factor: 3,
        reclaim_ms: 3_400,
        stop_ms: 900,
    };
    let cases = [
        WaitCase {
            what: "longer than a stop, and short enough to preempt elsewhere afterwards",
            wait: LocalityWait {
                guaranteed: true,
                ..plain
            },
            limit_ms: 1_800,
        },
        WaitCase {
            what: "the shortest wait if the reclaim limit is tight",
            wait: LocalityWait {
                guaranteed: true,
                reclaim_ms: 1_000,
                ..plain
            },
            limit_ms: 400,
        },
        WaitCase {
            what: "on a busy pool, as long as the extra run time of remote work",
            wait: plain,
            limit_ms: 8_000,
        },
        WaitCase {
            what: "a short wait on an idle pool",
            wait: LocalityWait {
                busy: false,
                ..plain
            },
            limit_ms: 1_500,
        },
    ];
    for case in cases {
        assert_eq!(case.wait.limit_ms(), case.limit_ms, "{}", case.what);
    }
}
