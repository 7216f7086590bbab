//! Tests of what is learned of the speed of upstreams, and of the placements that follow from it.

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::amount::ResourceAmount;
use hemlockramp::work::model::speed_record::{
    SPEED_ROWS, decode_speed_row, encode_speed_row, speed_row_number,
};
use hemlockramp::work::placing::placement::{
    CandidateUpstream, CapacityClaim, UnitDemand, place_unit,
};
use hemlockramp::work::placing::remaining::remaining_ms;
use hemlockramp::work::placing::slowdown::{
    SlowdownLimit, SpeedPreference, TaskProgress, UpstreamSlowdown,
};
use hemlockramp::work::placing::speed::bias::LogEstimate;
use hemlockramp::work::placing::speed::sample::RunSample;
use hemlockramp::work::placing::speed::table::SpeedTable;

const ESTIMATE_MS: u64 = 4_000;

fn name(text: impl AsRef<str>) -> ObjectName {
    ObjectName::try_from(text.as_ref()).expect("a valid name")
}

/// Deviates from 0 as a standard normal does, nearly; the same in each run of the test.
struct Noise(u64);

impl Noise {
    fn next(&mut self) -> f64 {
        let mut sum = 0.0;
        for _ in 0..12 {
            self.0 = self
                .0
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            sum += (self.0 >> 11) as f64 / (1_u64 << 53) as f64;
        }
        sum - 6.0
    }
}

/// A pool whose upstreams' true slowness is known, and what is learned of it.
struct Replay {
    truth: Vec<f64>,
    names: Vec<ObjectName>,
    table: SpeedTable,
    noise: Noise,
    now_ms: u64,
}

impl Replay {
    fn new(truth: impl IntoIterator<Item = f64>) -> Self {
        let truth: Vec<f64> = truth.into_iter().collect();
        Self {
            names: (0..truth.len())
                .map(|one| name(format!("up{one:03}")))
                .collect(),
            truth,
            table: SpeedTable::default(),
            noise: Noise(7),
            now_ms: 1_000,
        }
    }

    /// Runs a step of single tasks, or a gang, on these upstreams to its end.
    fn run(&mut self, gang: bool, upstreams: &[usize], estimate_error: f64) {
        let queue = name(if gang { "gangs" } else { "singles" });
        let wrong = (estimate_error * self.noise.next()).exp();
        let units: Vec<Vec<usize>> = match gang {
            true => vec![upstreams.to_vec()],
            false => upstreams.iter().map(|&one| vec![one]).collect(),
        };
        let mut bias = self.table.expected_bias(&queue);
        for unit in units {
            let slowest = unit.iter().map(|&one| self.truth[one]).fold(0.0, f64::max);
            // One task in 33 takes seven times as long.
            let tail = if self.noise.next() > 1.88 { 7.0 } else { 1.0 };
            let ratio = wrong * slowest * tail * (0.15 * self.noise.next()).exp();
            let elapsed_ms = (ESTIMATE_MS as f64 * ratio) as u64;
            let sample = RunSample::of_end(elapsed_ms, ESTIMATE_MS).expect("a sample");
            bias = self.end(&unit, sample, &bias);
        }
        self.table.add_step(&queue, &bias);
        self.now_ms += 100;
        self.table.estimate_classes(self.now_ms);
    }

    fn end(&mut self, unit: &[usize], sample: RunSample, bias: &LogEstimate) -> LogEstimate {
        let members: Vec<ObjectName> = unit.iter().map(|&one| self.names[one].clone()).collect();
        let step = (name("job"), 0);
        let refined = self.table.refined_bias(bias, sample, &step, &members);
        let shown: Vec<_> = (0..members.len())
            .map(|member| self.table.evidence(sample, bias, &step, &members, member))
            .collect();
        for (member, evidence) in members.iter().zip(&shown) {
            self.table.settle(member, evidence, self.now_ms);
        }
        refined
    }

    fn pick(&mut self, count: usize) -> Vec<usize> {
        let mut picked = Vec::new();
        while picked.len() < count {
            let one = ((self.noise.next() + 6.0) / 12.0 * 7_919.0) as usize * 31;
            let one = one % self.truth.len();
            if !picked.contains(&one) {
                picked.push(one);
            }
        }
        picked
    }

    fn slowdown(&self, upstream: usize) -> UpstreamSlowdown {
        self.table.slowdown(&self.names[upstream])
    }
}

/// Load: an uneven pool with three classes, unlike steps, estimates wrong by step, and gangs that
/// are as slow as their slowest member.
#[test]
fn classes_are_learned_from_unlike_steps_and_gangs() {
    let speeds = [0.6, 1.0, 1.6];
    let mut replay = Replay::new((0..90).map(|one| 1.0 / speeds[one % 3]));
    for _ in 0..24 {
        for _ in 0..3 {
            let gang = replay.pick(4);
            replay.run(true, &gang, 0.2);
        }
        let singles = replay.pick(12);
        replay.run(false, &singles, 0.2);
        let wide = replay.pick(6);
        replay.run(true, &wide, 0.5);
    }
    let limit = SlowdownLimit::new(1_400, 1_000).expect("a limit");
    let wrong = (0..90).filter(|&one| {
        let late = replay.slowdown(one).late_share(limit) > 0.5;
        late != (replay.truth[one] > 1.4)
    });
    let wrong: Vec<usize> = wrong.collect();
    assert!(
        wrong.len() <= 9,
        "{} of 90 taken for another class",
        wrong.len()
    );
}

/// Load: work that can wait runs on slow upstreams only, because they are known to be slow. Its steps
/// must not be taken for long ones, nor these upstreams for ordinary ones.
#[test]
fn work_kept_on_slow_upstreams_does_not_hide_them() {
    let speeds = [0.6, 1.0, 1.6];
    let mut replay = Replay::new((0..90).map(|one| 1.0 / speeds[one % 3]));
    let limit = SlowdownLimit::new(1_400, 1_000).expect("a limit");
    for _ in 0..40 {
        let mut order: Vec<usize> = (0..90).collect();
        order.sort_by(|&left, &right| {
            let late = |one| replay.slowdown(one).late_share(limit);
            late(right).total_cmp(&late(left))
        });
        replay.run(false, &order[..24], 0.2);
        replay.run(true, &order[84..], 0.2);
        let any = replay.pick(4);
        replay.run(true, &any, 0.2);
    }
    // Those on which nothing has run are unknown, not hidden.
    let hidden = (0..90).filter(|&one| {
        let slowdown = replay.slowdown(one);
        let is_known = slowdown.deviation() < 0.4;
        replay.truth[one] > 1.4 && is_known && slowdown.late_share(limit) < 0.25
    });
    let hidden: Vec<UpstreamSlowdown> = hidden.map(|one| replay.slowdown(one)).collect();
    assert!(hidden.len() <= 4, "slow ones not seen: {hidden:?}");
}

/// Load: a pool whose upstreams are alike, with few runs of tasks that differ. None may be taken for
/// slow, nor an unknown one avoided.
#[test]
fn alike_upstreams_get_equal_penalties() {
    let mut replay = Replay::new([1.0; 60]);
    for _ in 0..30 {
        let singles = replay.pick(10);
        replay.run(false, &singles, 0.3);
        let gang = replay.pick(3);
        replay.run(true, &gang, 0.2);
    }
    let preference = SpeedPreference {
        limit: SlowdownLimit::new(1_500, 1_000),
        yields: None,
    };
    let unknown = replay.table.slowdown(&name("unseen")).penalty(preference);
    let differing = (0..60).filter(|&one| replay.slowdown(one).penalty(preference) > unknown + 2);
    assert!(differing.count() <= 2);
}

/// Load: an upstream turns six times slower for seconds while it runs several tasks, and recovers.
#[test]
fn a_change_of_speed_is_followed() {
    let mut replay = Replay::new([1.0; 40]);
    for _ in 0..10 {
        let singles: Vec<usize> = (0..40).collect();
        replay.run(false, &singles, 0.1);
    }
    assert!(replay.slowdown(5).log_mean().abs() < 0.2);
    replay.truth[5] = 6.0;
    for _ in 0..4 {
        let singles: Vec<usize> = (0..12).collect();
        replay.run(false, &singles, 0.1);
    }
    assert!(
        replay.slowdown(5).log_mean() > 1.0,
        "{:?}",
        replay.slowdown(5)
    );
    replay.truth[5] = 1.0;
    for _ in 0..4 {
        let singles: Vec<usize> = (0..12).collect();
        replay.run(false, &singles, 0.1);
    }
    assert!(
        replay.slowdown(5).log_mean() < 0.3,
        "{:?}",
        replay.slowdown(5)
    );
}

/// Load: the owner dies in an uneven pool. Its successor knows the speeds from the stored rows, but
/// not that of an upstream that has begun a later life.
#[test]
fn speeds_survive_a_change_of_owner_and_not_a_new_life() {
    let mut replay = Replay::new((0..40).map(|one| if one % 4 == 0 { 1.8 } else { 1.0 }));
    for one in 0..40 {
        replay
            .table
            .set_live(&replay.names[one].clone(), Default::default());
        replay.table.set_incarnation(&replay.names[one], 9);
    }
    for _ in 0..8 {
        let singles: Vec<usize> = (0..40).collect();
        replay.run(false, &singles, 0.2);
    }
    let numbers = replay.table.outdated_rows();
    assert!(!numbers.is_empty() && numbers.iter().all(|&one| one < SPEED_ROWS));
    let rows: Vec<_> = numbers
        .iter()
        .map(|&number| encode_speed_row(number, &replay.table.take_row(number)))
        .collect();
    assert!(replay.table.outdated_rows().is_empty());
    let bytes: usize = rows.iter().map(|row| row.key.len() + row.value.len()).sum();
    assert!(bytes < 40 * 60, "{bytes} bytes for 40 upstreams");

    let mut successor = SpeedTable::default();
    for row in &rows {
        let records = decode_speed_row(row).expect("a row of speeds");
        successor.restore(&records.expect("records"), 1_000);
    }
    (0..6).for_each(|round| _ = successor.estimate_classes(2_000 + 1_000 * round));
    let known = |one: usize| numbers.contains(&speed_row_number(&replay.names[one]));
    for one in (0..40).filter(|&one| known(one)) {
        let before = replay.slowdown(one).log_mean();
        let after = successor.slowdown(&replay.names[one]).log_mean();
        assert!((before - after).abs() < 0.2, "{one}: {before} {after}");
    }
    let slow = (0..40)
        .step_by(4)
        .find(|&one| known(one))
        .expect("a slow one");
    let unknown = successor.slowdown(&name("unseen"));
    successor.set_incarnation(&replay.names[slow], 10);
    assert_eq!(successor.slowdown(&replay.names[slow]), unknown);
}

struct PlacementCase {
    load: &'static str,
    count: usize,
    limit: Option<SlowdownLimit>,
    yields: Option<SlowdownLimit>,
    expected: &'static [usize],
}

/// Load: a pool in which upstreams 0 and 3 are known to be slow, 1 is unknown, 2 ordinary and 4 fast.
#[test]
fn units_take_the_upstreams_that_they_can_bear() {
    let slowdowns = [
        (0.51, 0.1),
        (0.05, 0.4),
        (0.0, 0.1),
        (0.5, 0.1),
        (-0.47, 0.1),
    ];
    let candidates: Vec<CandidateUpstream> = slowdowns
        .iter()
        .enumerate()
        .map(|(index, &(mean, deviation))| CandidateUpstream {
            name: name(format!("up{index}")),
            rack: None,
            labels: Vec::new(),
            capacity: ResourceAmount {
                accelerators: 8,
                ..Default::default()
            },
            free: ResourceAmount {
                accelerators: 8,
                ..Default::default()
            },
            failure_score: 0.0,
            slowdown: UpstreamSlowdown::new(mean, deviation),
            reserved: None,
        })
        .collect();
    let urgent = SlowdownLimit::new(1_480, 1_000);
    let cases = [
        PlacementCase {
            load: "an urgent gang whose limit a slow upstream misses",
            count: 2,
            limit: urgent,
            yields: None,
            expected: &[2, 4],
        },
        PlacementCase {
            load: "an urgent gang that needs the unknown one as well",
            count: 3,
            limit: urgent,
            yields: None,
            expected: &[1, 2, 4],
        },
        PlacementCase {
            load: "work that can wait tries the unknown one, then takes the slow ones",
            count: 2,
            limit: SlowdownLimit::new(3_000, 1_000),
            yields: urgent,
            expected: &[0, 1],
        },
        PlacementCase {
            load: "both slow ones before those that urgent work needs",
            count: 3,
            limit: SlowdownLimit::new(3_000, 1_000),
            yields: urgent,
            expected: &[0, 1, 3],
        },
        PlacementCase {
            load: "an ordinary one only when there is nothing else",
            count: 4,
            limit: SlowdownLimit::new(3_000, 1_000),
            yields: urgent,
            expected: &[0, 1, 2, 3],
        },
        PlacementCase {
            load: "work that has waited long takes no slow one any more",
            count: 2,
            limit: SlowdownLimit::new(1_300, 1_000),
            yields: urgent,
            expected: &[1, 4],
        },
        PlacementCase {
            load: "an urgent gang takes slow ones when no others are left",
            count: 5,
            limit: urgent,
            yields: None,
            expected: &[0, 1, 2, 3, 4],
        },
    ];
    for case in cases {
        let demand = UnitDemand {
            count: case.count,
            need: ResourceAmount {
                accelerators: 8,
                ..Default::default()
            },
            speed: SpeedPreference {
                limit: case.limit,
                yields: case.yields,
            },
            ..UnitDemand::default()
        };
        let claim = CapacityClaim {
            job: name("job"),
            unit: 0,
            rank: 0,
        };
        let mut chosen = place_unit(&demand, &claim, &candidates).expect(case.load);
        chosen.sort_unstable();
        assert_eq!(chosen, case.expected, "{}", case.load);
    }
}

/// Load: one upstream takes 1.3 times as long as the others, one ten times. The straggler is the last
/// choice of all work.
#[test]
fn stragglers_are_the_last_choice() {
    let mut replay = Replay::new([1.0, 1.0, 1.3, 1.0, 1.0, 7.5]);
    for _ in 0..12 {
        replay.run(false, &[0, 1, 2, 3, 4, 5], 0.0);
    }
    let urgent = SlowdownLimit::new(1_300, 1_000);
    let fast = SpeedPreference {
        limit: urgent,
        yields: None,
    };
    let yielding = SpeedPreference {
        limit: None,
        yields: urgent,
    };
    let penalty = |index: usize, preference| replay.slowdown(index).penalty(preference);
    assert!(penalty(0, fast) < penalty(2, fast));
    assert!(penalty(2, yielding) < penalty(0, yielding));
    let any = SpeedPreference::default();
    assert_eq!(penalty(0, any), penalty(2, any));
    for preference in [fast, yielding, any] {
        let last = (0..5).all(|index| penalty(index, preference) < penalty(5, preference));
        assert!(last, "{preference:?}");
    }
}

struct RemainingCase {
    load: &'static str,
    percent: u32,
    elapsed_ms: u64,
    log_slowness: f64,
    expected_ms: std::ops::RangeInclusive<u64>,
}

#[test]
fn remaining_time_follows_progress_and_speed() {
    let cases = [
        RemainingCase {
            load: "just begun on an ordinary upstream",
            percent: 0,
            elapsed_ms: 0,
            log_slowness: 0.0,
            expected_ms: 4_000..=4_000,
        },
        RemainingCase {
            load: "just begun on a slow one",
            percent: 0,
            elapsed_ms: 0,
            log_slowness: 0.5,
            expected_ms: 6_500..=6_700,
        },
        RemainingCase {
            load: "nearly done though long overdue",
            percent: 95,
            elapsed_ms: 19_000,
            log_slowness: 0.0,
            expected_ms: 800..=1_000,
        },
        RemainingCase {
            load: "overdue without any progress",
            percent: 0,
            elapsed_ms: 9_000,
            log_slowness: 0.0,
            expected_ms: 500..=500,
        },
    ];
    for case in cases {
        let progress = TaskProgress {
            percent: case.percent,
            elapsed_ms: case.elapsed_ms,
        };
        let slowdown = UpstreamSlowdown::new(case.log_slowness, 0.1);
        let left_ms = remaining_ms(Some(progress), ESTIMATE_MS, slowdown);
        assert!(
            case.expected_ms.contains(&left_ms),
            "{}: {left_ms}",
            case.load
        );
    }
}

/// What a gang's run shows of its members is the same whether the others are read for each member or
/// all members at once.
#[test]
fn a_gang_shows_the_same_read_at_once() {
    let mut replay = Replay::new((0..90).map(|one| [0.6, 1.0, 1.6][one % 3]));
    for _ in 0..24 {
        let picked = replay.pick(12);
        replay.run(false, &picked, 0.3);
    }
    let step = (name("job"), 0);
    let bias = replay.table.expected_bias(&name("gangs"));
    let sample = RunSample::of_end(5 * ESTIMATE_MS / 4, ESTIMATE_MS).expect("a sample");
    for count in [3, 8, 60] {
        let members = &replay.names[..count];
        let gang = replay.table.gang_speed(members);
        for (index, member) in members.iter().enumerate() {
            let table = &replay.table;
            let alone = table.evidence(sample, &bias, &step, members, index);
            let at_once = table.gang_evidence(sample, &bias, &gang, member);
            assert_eq!(alone.to_digits(), at_once.to_digits(), "{count}: {member}");
        }
    }
}
