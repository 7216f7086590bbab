//! Compares the journal fold with a simple reference model on random, mostly invalid placements.

mod support;

use hemlockramp::journal::fold::FoldVerdict;
use hemlockramp::journal::record::{AttemptRef, PlaceRecord, RecordBody};
use hemlockramp::systems::plan::plan;
use hemlockramp::tables::cell::CellSpan;
use hemlockramp::tables::job::JobRow;
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::fold::{FoldHarness, check_invariants, job, shape, team};
use support::naive::ReferenceFold;

/// Seed of the property test.
const SEED: u64 = 0x6e61_6976;

fn random_span(random: &mut ChaCha8Rng, size: u32) -> CellSpan {
    CellSpan {
        rack: random.random_range(0..2),
        first: (random.random_range(0..32 / size) * size) as u8,
        shape: shape(size),
    }
}

/// Returns a random placement, or the planner's with one random mutation.
fn random_placement(harness: &FoldHarness, random: &mut ChaCha8Rng) -> Option<PlaceRecord> {
    let waiting: Vec<JobRow> = harness.state.jobs.waiting().cloned().collect();
    if waiting.is_empty() {
        return None;
    }
    let row = &waiting[random.random_range(0..waiting.len())];
    let planned = plan(&harness.state, harness.now_ms, &harness.policy).records;
    let planned = planned.into_iter().find_map(|record| match record {
        RecordBody::Place(place) => Some(place),
        _ => None,
    });
    let size = row.spec.shape.accelerators();
    let random_record = PlaceRecord {
        job: row.spec.id.clone(),
        attempt: row.attempts + 1,
        cells: (0..row.spec.count)
            .map(|_| random_span(random, size))
            .collect(),
        guaranteed: random.random_bool(0.5),
        bind: Vec::new(),
        victims: Vec::new(),
    };
    let mut place = match random.random_bool(0.7) {
        true => planned.unwrap_or(random_record),
        false => random_record,
    };
    match random.random_range(0..9) {
        0 => place.attempt += 1,
        1 => place.guaranteed = !place.guaranteed,
        2 => drop(place.bind.pop()),
        3 => place.bind.push(random_span(random, 8)),
        4 => drop(place.victims.pop()),
        5 => place.victims.push(AttemptRef {
            job: row.spec.id.clone(),
            attempt: 1,
        }),
        6 => move_binding(&mut place, random),
        _ => {}
    }
    Some(place)
}

/// Moves the first binding and claimed cell, possibly to where other guarantees no longer fit.
fn move_binding(place: &mut PlaceRecord, random: &mut ChaCha8Rng) {
    if let Some(bound) = place.bind.first_mut() {
        *bound = random_span(random, bound.shape.accelerators());
        place.cells[0].rack = bound.rack;
        place.cells[0].first = bound.first;
    }
}

#[test]
fn fold_verdicts_match_the_reference_model() {
    fn property(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = FoldHarness::new(2);
        let mut red = team("red", &[(16, 2), (4, 1)]);
        red.quota_accelerators = 48;
        let mut blue = team("blue", &[(8, 3)]);
        blue.may_borrow = !seed.is_multiple_of(3);
        let teams = vec![red, blue];
        let mut reference = ReferenceFold {
            racks: 2,
            teams: teams.clone(),
            ..ReferenceFold::default()
        };
        assert_eq!(harness.ticket(1, teams), FoldVerdict::Accepted);
        for step in 0..30 {
            let owner = ["red", "blue"][random.random_range(0..2)];
            let size = 1 << random.random_range(0..5);
            let spec = job(&format!("j{step}"), owner, size, random.random_range(1..3));
            let submit = RecordBody::Submit(spec);
            reference.apply(&submit);
            harness.accept(submit);
            let Some(place) = random_placement(&harness, &mut random) else {
                continue;
            };
            let record = RecordBody::Place(place);
            let expected = reference.apply(&record);
            let verdict = harness.push(record.clone());
            let accepted = verdict == FoldVerdict::Accepted;
            assert_eq!(accepted, expected, "{verdict:?} for {record:?}");
            check_invariants(&harness.state);
        }
        true
    }
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(300)
        .quickcheck(property as fn(u64) -> bool);
}
