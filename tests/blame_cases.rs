//! Cases of failed runs, and who is to blame for them: the work or the upstreams.

use std::ops::Range;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::owner::failure_ledger::{EXCLUSION_SCORE, FailedRun, FailureLedger};
use hemlockramp::work::owner::step_failures::StepRef;

/// Calls in which all queued changes are taken.
const SETTLE_CALLS: usize = 400;

fn upstream_name(index: usize) -> ObjectName {
    ObjectName::try_from(format!("u{index:04}").as_str()).expect("a valid name")
}

/// A step of a job and the number of its tasks.
struct CaseStep {
    step: StepRef,
    tasks: u32,
}

fn case_step(index: usize, tasks: u32) -> CaseStep {
    let job = format!("job{index:03}");
    let job = ObjectName::try_from(job.as_str()).expect("a valid name");
    let step = StepRef { job, step: 0 };
    CaseStep { step, tasks }
}

/// A ledger, and the upstreams that its scores exclude.
struct CaseLedger {
    ledger: FailureLedger,
    /// Upstreams that have completed no run yet.
    new: Range<usize>,
    /// Whether each upstream is excluded.
    excluded: Vec<bool>,
    now_ms: u64,
}

impl CaseLedger {
    fn new(upstreams: usize, new: Range<usize>) -> Self {
        Self {
            ledger: FailureLedger::default(),
            new,
            excluded: vec![false; upstreams],
            now_ms: 1_000,
        }
    }

    fn fail(&mut self, step: &CaseStep, upstream: usize) {
        self.now_ms += 1;
        self.ledger.add_failure(FailedRun {
            step: &step.step,
            upstream: &upstream_name(upstream),
            tasks: step.tasks,
            is_step_done: false,
            is_upstream_proven: !self.new.contains(&upstream),
            now_ms: self.now_ms,
        });
        self.take_changes();
    }

    fn complete(&mut self, step: &CaseStep, upstream: usize) {
        self.now_ms += 1;
        self.ledger
            .add_success(&step.step, &upstream_name(upstream));
        self.take_changes();
    }

    fn settle(&mut self) {
        (0..SETTLE_CALLS).for_each(|_| self.take_changes());
    }

    fn take_changes(&mut self) {
        for name in self.ledger.take_changes(self.now_ms) {
            let blame = self.ledger.blame(&name);
            let index: usize = name.as_str()[1..].parse().expect("an index");
            match blame.score >= EXCLUSION_SCORE {
                true => self.excluded[index] = true,
                false if blame.is_exonerated => self.excluded[index] = false,
                false => {}
            }
        }
    }

    /// Returns the indexes of the excluded upstreams.
    fn excluded(&self) -> Vec<usize> {
        let indexes = 0..self.excluded.len();
        indexes.filter(|&index| self.excluded[index]).collect()
    }
}

/// Failed and completed runs, and the upstreams that are to blame.
struct BlameCase {
    name: &'static str,
    upstreams: usize,
    /// Upstreams that have completed no run yet, unlike most others.
    new: Range<usize>,
    play: fn(&mut CaseLedger),
    /// Upstreams that are to be excluded, and no others.
    excluded: Range<usize>,
}

const CASES: [BlameCase; 14] = [
    BlameCase {
        name: "ten new upstreams of 1,100 fail all tasks of one step",
        upstreams: 1_100,
        new: 1_090..1_100,
        play: |ledger| {
            let step = case_step(0, 80);
            for upstream in 1_090..1_100 {
                (0..8).for_each(|_| ledger.fail(&step, upstream));
            }
        },
        excluded: 1_090..1_100,
    },
    BlameCase {
        name: "ten new upstreams of 1,100 fail what gangs of several jobs start there",
        upstreams: 1_100,
        new: 1_090..1_100,
        play: |ledger| {
            for job in 0..20 {
                let step = case_step(job, 26);
                ledger.fail(&step, 1_090 + job % 10);
            }
        },
        excluded: 1_090..1_100,
    },
    BlameCase {
        name: "a zone of 183 upstreams fails, before any task is done",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| fail_zone(ledger, 0..183),
        excluded: 0..183,
    },
    BlameCase {
        name: "a zone of 183 upstreams fails most of steps that have tasks done elsewhere later",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| {
            for start in 0..2 * 183 {
                ledger.fail(&case_step(start / 16, 26), start % 183);
            }
            (0..23).for_each(|job| ledger.complete(&case_step(job, 26), 200 + job));
        },
        excluded: 0..183,
    },
    BlameCase {
        name: "ten upstreams fail what gangs of eight start there, two tasks of each",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| {
            for start in 0..20 {
                ledger.fail(&case_step(start / 2, 8), start % 10);
            }
        },
        excluded: 0..10,
    },
    BlameCase {
        name: "seven upstreams fail a few tasks each of a step without a task done",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| {
            let step = case_step(0, 78);
            for _ in 0..2 {
                (0..7).for_each(|upstream| ledger.fail(&step, upstream));
            }
        },
        excluded: 0..7,
    },
    BlameCase {
        name: "a hopeless step of 400 tasks",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| fail_everywhere(ledger, &case_step(0, 400), 0..50),
        excluded: 0..0,
    },
    BlameCase {
        name: "a hopeless step of 400 tasks in waves on ten upstreams",
        upstreams: 10,
        new: 0..0,
        play: |ledger| {
            let step = case_step(0, 400);
            (0..3).for_each(|_| fail_everywhere(ledger, &step, 0..10));
        },
        excluded: 0..0,
    },
    BlameCase {
        name: "a hopeless step in a zone that fails and outside it",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| {
            let step = case_step(900, 400);
            fail_everywhere(ledger, &step, 150..183);
            fail_zone(ledger, 0..183);
            fail_everywhere(ledger, &step, 183..240);
        },
        excluded: 0..183,
    },
    BlameCase {
        name: "a hopeless step beside ten new upstreams that fail",
        upstreams: 1_100,
        new: 1_090..1_100,
        play: |ledger| {
            let step = case_step(0, 80);
            fail_everywhere(ledger, &case_step(900, 400), 0..50);
            (1_090..1_100).for_each(|upstream| ledger.fail(&step, upstream));
            (1_090..1_100).for_each(|upstream| ledger.fail(&step, upstream));
        },
        excluded: 1_090..1_100,
    },
    BlameCase {
        name: "a step that is merely unlucky",
        upstreams: 1_100,
        new: 0..0,
        play: |ledger| {
            let step = case_step(0, 30);
            (0..3).for_each(|upstream| ledger.fail(&step, upstream));
            (3..30).for_each(|upstream| ledger.complete(&step, upstream));
            (3..6).for_each(|upstream| ledger.fail(&step, upstream));
        },
        excluded: 0..0,
    },
    BlameCase {
        name: "one hopeless job in a pool of four, of which one has completed a run",
        upstreams: 4,
        new: 0..0,
        play: |ledger| {
            let (quick, step, sound) = (case_step(1, 1), case_step(0, 20), case_step(2, 1));
            ledger.complete(&quick, 0);
            (0..2).for_each(|_| fail_everywhere(ledger, &step, 0..4));
            ledger.settle();
            assert!(ledger.excluded().is_empty(), "before sound work is done");
            ledger.complete(&sound, 3);
        },
        excluded: 0..0,
    },
    BlameCase {
        name: "two hopeless jobs on the same four upstreams",
        upstreams: 4,
        new: 0..0,
        play: |ledger| {
            fail_everywhere(ledger, &case_step(0, 20), 0..4);
            fail_everywhere(ledger, &case_step(1, 20), 0..4);
        },
        excluded: 0..0,
    },
    BlameCase {
        name: "a broken upstream of four beside a hopeless job",
        upstreams: 4,
        new: 0..0,
        play: |ledger| {
            fail_everywhere(ledger, &case_step(0, 20), 0..4);
            (1..4).for_each(|upstream| ledger.complete(&case_step(upstream, 3), upstream));
            (1..4).for_each(|step| ledger.fail(&case_step(step, 3), 0));
        },
        excluded: 0..1,
    },
];

/// Fails as many runs of a step on each upstream as fit there.
fn fail_everywhere(ledger: &mut CaseLedger, step: &CaseStep, upstreams: Range<usize>) {
    for upstream in upstreams {
        (0..8).for_each(|_| ledger.fail(step, upstream));
    }
}

/// Fails what steps of 26 tasks have started in a zone: four tasks each, and two steps an upstream.
fn fail_zone(ledger: &mut CaseLedger, zone: Range<usize>) {
    let length = zone.len();
    for start in 0..2 * length {
        let step = case_step(start / 4, 26);
        ledger.fail(&step, zone.start + start % length);
    }
}

#[test]
fn upstreams_are_excluded_if_they_are_to_blame_and_only_then() {
    let mut wrong = Vec::new();
    for case in &CASES {
        let mut ledger = CaseLedger::new(case.upstreams, case.new.clone());
        (case.play)(&mut ledger);
        ledger.settle();
        let excluded = ledger.excluded();
        if !excluded.iter().copied().eq(case.excluded.clone()) {
            let (count, wanted) = (excluded.len(), &case.excluded);
            wrong.push(format!("{}: {count} excluded, not {wanted:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
