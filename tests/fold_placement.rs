//! Property tests of placement and guarantees: random runs are checked against invariants and an
//! exhaustive packer.

mod support;

use hemlockramp::journal::fold::FoldVerdict;
use hemlockramp::journal::record::RecordBody;
use hemlockramp::journal::state::FoldState;
use hemlockramp::systems::preemption::choose_guaranteed;
use hemlockramp::tables::cell::{CellSpan, LevelCounts};
use hemlockramp::tables::job::JobRow;
use hemlockramp::tables::worker::WorkerState;
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::fold::{FoldHarness, check_invariants, job, name, shape, team};

/// Seed of every property test in this file.
const SEED: u64 = 0x6865_6d6c;
/// Number of random runs per property.
const RUNS: u64 = 120;
/// Number of steps in one run.
const STEPS: usize = 60;

fn check(property: fn(u64) -> bool) {
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(u64) -> bool);
}

/// Applies one random event, then plans and runs workers.
fn random_step(harness: &mut FoldHarness, random: &mut ChaCha8Rng, step: usize) {
    harness.now_ms += random.random_range(1..30_000);
    match random.random_range(0..10) {
        0..=3 => {
            let teams = ["red", "green", "blue"];
            let owner = teams[random.random_range(0..teams.len())];
            let sizes = [1, 2, 4, 8, 16, 32];
            let size = sizes[random.random_range(0..sizes.len())];
            let count = random.random_range(1..4);
            let mut spec = job(&format!("j{step}"), owner, size, count);
            spec.urgent = random.random_ratio(1, 8);
            harness.submit(spec);
        }
        4 => {
            let id = format!("j{}", random.random_range(0..=step));
            harness.cancel(&[&id]);
        }
        5 => {
            let state = match random.random_range(0..3) {
                0 => WorkerState::Down,
                1 => WorkerState::Leaving,
                _ => WorkerState::Live,
            };
            harness.set_worker(random.random_range(0..8), state);
        }
        6 => {
            let count = random.random_range(0..4);
            let guarantees = [(8, count), (16, random.random_range(0..2))];
            harness.ticket(100 + step as u64, vec![team("green", &guarantees)]);
        }
        _ => {}
    }
    if random.random_bool(0.7) {
        harness.plan();
    }
    let fail = random.random_range(0..6);
    harness.work(random, 0.7, 0.3, fail);
}

fn three_teams() -> FoldHarness {
    let mut harness = FoldHarness::new(2);
    let teams = vec![
        team("red", &[(16, 1)]),
        team("green", &[(8, 2)]),
        team("blue", &[]),
    ];
    assert_eq!(harness.ticket(1, teams), FoldVerdict::Accepted);
    harness
}

#[test]
fn random_runs_keep_the_invariants() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = three_teams();
        for step in 0..STEPS {
            random_step(&mut harness, &mut random, step);
            check_invariants(&harness.state);
        }
        true
    }
    check(property);
}

/// Claims every unbound guaranteed cell of all teams at once, on a copy of the state.
fn claim_all_guarantees(harness: &FoldHarness) -> Result<(), String> {
    let mut harness = harness.clone();
    let teams = harness.state.teams.rows.clone();
    let mut round = 0;
    for row in &teams {
        for held in &row.spec.guarantees {
            let bound = harness
                .state
                .count_bound(&row.spec.team, &held.domain, held.shape);
            for _ in bound..held.count {
                round += 1;
                let id = format!("claim{round}");
                let mut spec = job(&id, row.spec.team.as_str(), held.shape.accelerators(), 1);
                spec.domain = Some(held.domain.clone());
                harness.submit(spec.clone());
                let row = JobRow::new(spec, 0);
                let place = choose_guaranteed(&harness.state, &row);
                let place = place.ok_or_else(|| format!("no cell for {id}"))?;
                let verdict = harness.push(RecordBody::Place(place));
                if verdict != FoldVerdict::Accepted {
                    return Err(format!("{id}: {verdict:?}"));
                }
            }
        }
    }
    Ok(())
}

#[test]
fn guaranteed_shapes_can_be_reclaimed_by_all_teams_at_once() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = three_teams();
        for step in 0..STEPS {
            random_step(&mut harness, &mut random, step);
            // Guarantees may be short while workers are lost; the shortage is reported.
            if harness.state.shortage(&name("d0")) == 0 {
                claim_all_guarantees(&harness).expect("all guarantees can be claimed");
            }
        }
        true
    }
    check(property);
}

#[test]
fn no_guarantee_is_short_while_all_workers_are_healthy() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = three_teams();
        for step in 0..STEPS {
            random_step(&mut harness, &mut random, step);
            for index in 0..8 {
                harness.set_worker(index, WorkerState::Live);
            }
            let healthy = harness
                .state
                .racks
                .workers()
                .all(|(_, worker)| worker.accepts_work());
            let short = harness.state.short_guarantees();
            assert!(!healthy || short.is_empty(), "{short:?}");
        }
        true
    }
    check(property);
}

/// Returns whether all wanted cells fit, by exhaustive search.
fn can_pack(free: &mut Vec<u128>, wanted: &[u32]) -> bool {
    let Some((size, rest)) = wanted.split_first() else {
        return true;
    };
    for rack in 0..free.len() {
        for first in (0..128).step_by(*size as usize) {
            let span = CellSpan {
                rack: rack as u32,
                first: first as u8,
                shape: shape(*size),
            };
            if free[rack] & span.mask() == span.mask() {
                free[rack] &= !span.mask();
                let fits = can_pack(free, rest);
                free[rack] |= span.mask();
                if fits {
                    return true;
                }
            }
        }
    }
    false
}

#[test]
fn cell_counting_matches_exhaustive_packing() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut free: Vec<u128> = Vec::new();
        for _ in 0..2 {
            let dense: u128 = random.random::<u128>() | random.random::<u128>();
            free.push(dense & 0xffff);
        }
        let mut wanted: Vec<u32> = (0..random.random_range(0..5))
            .map(|_| 1 << random.random_range(0..5))
            .collect();
        wanted.sort_unstable_by(|one, other| other.cmp(one));
        let mut have = LevelCounts::default();
        free.iter()
            .for_each(|mask| have.add(&LevelCounts::of_mask(*mask)));
        let mut counts = LevelCounts::default();
        wanted
            .iter()
            .for_each(|size| counts.0[shape(*size).level()] += 1);
        (have.shortage(&counts) == 0) == can_pack(&mut free, &wanted)
    }
    check(property);
}

/// Checks the guarantee invariant of a state with the exhaustive packer.
fn guarantees_can_pack(state: &FoldState) -> bool {
    let mut free: Vec<u128> = state
        .racks
        .rows
        .iter()
        .map(|row| row.reclaimable())
        .collect();
    let unbound = state.unbound_cells(&name("d0"));
    let mut wanted = Vec::new();
    for level in (0..unbound.0.len()).rev() {
        for _ in 0..unbound.0[level].max(0) {
            wanted.push(1 << level);
        }
    }
    can_pack(&mut free, &wanted)
}

#[test]
fn guarantee_invariant_matches_exhaustive_packing() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = three_teams();
        for step in 0..STEPS / 2 {
            random_step(&mut harness, &mut random, step);
            let counted = harness.state.shortage(&name("d0")) == 0;
            assert_eq!(counted, guarantees_can_pack(&harness.state));
        }
        true
    }
    check(property);
}

#[test]
fn infeasible_or_outdated_tickets_are_refused() {
    struct Case {
        name: &'static str,
        number: u64,
        guarantees: &'static [(u32, u32)],
        refused: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "guarantees for both racks in full",
            number: 2,
            guarantees: &[(32, 2)],
            refused: None,
        },
        Case {
            name: "the current ticket number again",
            number: 2,
            guarantees: &[(8, 1)],
            refused: Some("taken"),
        },
        Case {
            name: "one cell too many",
            number: 3,
            guarantees: &[(32, 2), (1, 1)],
            refused: Some("do not fit"),
        },
        Case {
            name: "a cell wider than a rack",
            number: 3,
            guarantees: &[(64, 1)],
            refused: Some("do not fit"),
        },
        Case {
            name: "a lower ticket number",
            number: 1,
            guarantees: &[(8, 1)],
            refused: Some("stands at ticket 2"),
        },
        Case {
            name: "a shape listed twice",
            number: 3,
            guarantees: &[(8, 1), (8, 2)],
            refused: Some("twice"),
        },
        Case {
            name: "smaller guarantees",
            number: 3,
            guarantees: &[(8, 1)],
            refused: None,
        },
    ];
    let mut harness = FoldHarness::new(2);
    for case in cases {
        let before = harness
            .state
            .teams
            .find(&name("red"))
            .map(|row| row.spec.clone());
        let verdict = harness.ticket(case.number, vec![team("red", case.guarantees)]);
        let now = harness
            .state
            .teams
            .find(&name("red"))
            .map(|row| row.spec.clone());
        match (verdict, case.refused) {
            (FoldVerdict::Accepted, None) => {}
            (FoldVerdict::Refused(reason), Some(part)) => {
                assert!(reason.contains(part), "{}: {reason}", case.name);
                assert_eq!(now, before, "{} must not change the team", case.name);
            }
            (verdict, _) => panic!("{}: {verdict:?}", case.name),
        }
    }
}

#[test]
fn every_job_ends_once_the_faults_stop() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = three_teams();
        for step in 0..STEPS {
            random_step(&mut harness, &mut random, step);
        }
        for index in 0..8 {
            harness.set_worker(index, WorkerState::Live);
        }
        for _ in 0..400 {
            harness.now_ms += 60_000;
            harness.plan();
            harness.work(&mut random, 1.0, 0.8, 0);
        }
        let open: Vec<_> = harness
            .state
            .jobs
            .rows
            .iter()
            .filter(|row| row.ended_ms.is_none())
            .collect();
        let ids: Vec<_> = open.iter().map(|row| row.spec.id.as_str()).collect();
        assert!(ids.is_empty(), "{ids:?} of {:?}", harness.state.racks);
        true
    }
    check(property);
}
