//! Crashes of upstreams under a unit's tasks, and what follows from them for its next run.
//!
//! A task that crashes each upstream that runs it takes all other work there with it, again and
//! again. But work also loses its upstreams by chance, several at once or the same work repeatedly:
//! they crash, or are only cut off. No number of crashes tells the two apart, so that no job is ended
//! for them. From its second lost run on, a unit runs alone on its upstreams, so that neither does it
//! harm other work nor counts a crash that other work has caused; and from the third proved crash on
//! it is restarted ever more rarely, so that it takes few upstreams.

use crate::work::model::crash_record::{CrashRecord, LossRecord, UpstreamLife};
use crate::work::placing::placement::Isolation;

/// Proved crashes under a task from which on it is suspected to cause them.
const SUSPECT_CRASHES: u32 = 3;
/// Lost runs, proved crashes or not, from which on a task is suspected: an owner cannot prove a crash
/// under an earlier owner if the upstream comes back under another name.
const SUSPECT_LOST_RUNS: u32 = 4;
/// Losses of a task that are kept until it is known whether they were crashes.
const OPEN_LOSSES_MAX: usize = 5;
/// Lost runs from which on a unit runs alone.
const ISOLATED_LOST_RUNS: u32 = 2;
/// Lost runs up to which a lasting task is started again at once.
const PROMPT_RESTARTS: u32 = 3;
/// Pauses of lasting tasks, which their users miss all the while.
const LASTING_PAUSE: RestartPause = RestartPause {
    first_ms: 1_000,
    factor: 2,
    max_ms: 60_000,
};
/// Pauses of suspected tasks that do not last. The first is short: chance may have caused the crashes.
const SUSPECT_PAUSE: RestartPause = RestartPause {
    first_ms: 2_000,
    factor: 8,
    max_ms: 600_000,
};
/// Time for which a unit waits for upstreams of its own, in ms. A unit that had to pause for longer
/// waits as long again.
const ISOLATION_WAIT_MS: u64 = 2_000;

/// Pauses before the restarts of a task, each longer than the one before.
struct RestartPause {
    first_ms: u64,
    factor: u64,
    max_ms: u64,
}

impl RestartPause {
    /// Returns the pause after this number of shorter ones, in ms; none for `None`.
    fn length_ms(&self, shorter: Option<u32>) -> u64 {
        shorter.map_or(0, |shorter| {
            let factor = self.factor.saturating_pow(shorter);
            self.first_ms.saturating_mul(factor).min(self.max_ms)
        })
    }
}

/// Lost runs of a unit's tasks, one row for each task that has any, sorted by member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashHistory {
    rows: Vec<CrashRecord>,
}

impl CrashHistory {
    /// Returns the rows to record.
    pub fn rows(&self) -> &[CrashRecord] {
        &self.rows
    }

    /// Adds a member's run that was lost with its upstream.
    pub fn add_loss(&mut self, member: u32, loss: LossRecord) {
        let index = match self.rows.binary_search_by_key(&member, |row| row.member) {
            Ok(index) => index,
            Err(index) => {
                let row = CrashRecord {
                    member,
                    ..CrashRecord::default()
                };
                self.rows.insert(index, row);
                index
            }
        };
        let row = &mut self.rows[index];
        row.open.push(loss);
        // The history of a task has no end, so its oldest losses are only counted.
        if row.open.len() > OPEN_LOSSES_MAX {
            row.open.remove(0);
            row.unproved += 1;
        }
    }

    /// Drops the losses of a member that has been at work for long. Returns whether there were any.
    pub fn forget(&mut self, member: u32) -> bool {
        let found = self.rows.binary_search_by_key(&member, |row| row.member);
        found.map(|index| self.rows.remove(index)).is_ok()
    }

    /// Returns how long the unit waits before its next run, in ms.
    pub fn restart_pause_ms(&self, lasting: bool) -> u64 {
        match lasting {
            true => LASTING_PAUSE.length_ms(self.lost_runs().checked_sub(PROMPT_RESTARTS + 1)),
            false => SUSPECT_PAUSE.length_ms(self.suspect_level()),
        }
    }

    /// Returns the largest number of lost runs of a task.
    fn lost_runs(&self) -> u32 {
        let lost_runs = self.rows.iter().map(CrashRecord::lost_runs).max();
        lost_runs.unwrap_or(0)
    }

    /// Returns by how many losses a task is beyond the first that made it suspect; none if no task is
    /// suspect.
    fn suspect_level(&self) -> Option<u32> {
        let level = |row: &CrashRecord| {
            let by_crashes = row.proved.checked_sub(SUSPECT_CRASHES);
            by_crashes.max(row.lost_runs().checked_sub(SUSPECT_LOST_RUNS))
        };
        self.rows.iter().filter_map(level).max()
    }

    /// Counts the open losses that a later life of their upstream proves to be crashes. Returns
    /// whether there were any.
    pub fn resolve(&mut self, life: &UpstreamLife) -> bool {
        let mut any = false;
        for row in &mut self.rows {
            for loss in row.open.extract_if(.., |loss| life.follows(&loss.life)) {
                any = true;
                match loss.started {
                    true => row.proved += 1,
                    false => row.unproved += 1,
                }
            }
        }
        any
    }

    /// Drops the open losses on an upstream that answers again in the same life: it was only cut
    /// off. Returns whether there were any.
    pub fn refute(&mut self, life: &UpstreamLife) -> bool {
        let mut any = false;
        for row in &mut self.rows {
            let count = row.open.len();
            row.open.retain(|loss| {
                (&loss.life.upstream, loss.life.incarnation) != (&life.upstream, life.incarnation)
            });
            any |= row.open.len() < count;
        }
        self.rows.retain(|row| row.lost_runs() > 0);
        any
    }

    /// Returns the open losses.
    pub fn open_losses(&self) -> impl Iterator<Item = &LossRecord> {
        self.rows.iter().flat_map(|row| &row.open)
    }

    /// Returns whether one of the tasks is suspected to crash its upstreams.
    pub fn is_suspect(&self) -> bool {
        self.suspect_level().is_some()
    }

    /// Returns whether the unit's next run has its upstreams to itself.
    pub fn is_isolated(&self) -> bool {
        self.lost_runs() >= ISOLATED_LOST_RUNS
    }

    /// Returns how far the unit's next run is kept away from other work, once it has waited for
    /// `waited_ms`, its pause of `pause_ms` included.
    pub fn isolation(&self, waited_ms: u64, pause_ms: u64) -> Isolation {
        let crashed = self.rows.iter().any(|row| row.proved + row.unproved > 0);
        let wait_max_ms = pause_ms + pause_ms.max(ISOLATION_WAIT_MS);
        match self.is_isolated() {
            true if waited_ms < wait_max_ms => Isolation::Required,
            true => Isolation::Preferred,
            false if crashed => Isolation::Preferred,
            false => Isolation::None,
        }
    }
}

impl From<&[CrashRecord]> for CrashHistory {
    fn from(rows: &[CrashRecord]) -> Self {
        let mut rows = rows.to_vec();
        rows.sort_by_key(|row| row.member);
        Self { rows }
    }
}
