//! Crashes of upstreams under a unit's tasks, and what follows from them for its next run.
//!
//! A task that crashes each upstream that runs it takes all other work there with it, again and
//! again. It must be found and given up soon. But work also loses its upstreams by chance, several
//! at once or the same work repeatedly: they crash, or are only cut off. Such work must not be
//! given up. From its second lost run on, a unit therefore runs alone on its upstreams, so that
//! neither does it harm other work nor counts a crash that other work has caused.

use crate::work::model::crash_record::{CrashRecord, LossRecord, UpstreamLife};
use crate::work::placing::placement::Isolation;

/// Proved crashes under a task after which it is given up.
const PROVED_CRASHES_MAX: u32 = 3;
/// Lost runs, proved crashes or not, after which a task is given up: an owner cannot prove a crash
/// under an earlier owner if the upstream comes back under another name.
const LOST_RUNS_MAX: u32 = 5;
/// Lost runs from which on a unit runs alone.
const ISOLATED_LOST_RUNS: u32 = 2;
/// Lost runs up to which a lasting task is started again at once. It is never given up, but restarts
/// of one that crashes upstream after upstream become rare.
const PROMPT_RESTARTS: u32 = 3;
/// Pause before the next restart, doubled with each further lost run, in ms.
const RESTART_PAUSE_MS: u64 = 1_000;
/// Longest pause before a restart, in ms.
const RESTART_PAUSE_MAX_MS: u64 = 60_000;
/// Longest time that a unit waits for upstreams of its own, in ms.
const ISOLATION_WAIT_MAX_MS: u64 = 2_000;

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
        // The history of a lasting task has no end, so its oldest losses are only counted.
        if row.open.len() > LOST_RUNS_MAX as usize {
            row.open.remove(0);
            row.unproved += 1;
        }
    }

    /// Drops the losses of a member that has been at work for long. Returns whether there were any.
    pub fn forget(&mut self, member: u32) -> bool {
        let found = self.rows.binary_search_by_key(&member, |row| row.member);
        found.map(|index| self.rows.remove(index)).is_ok()
    }

    /// Returns how long a lasting task waits before its next run, in ms.
    pub fn restart_pause_ms(&self) -> u64 {
        let lost_runs = self.rows.iter().map(CrashRecord::lost_runs).max();
        let further = lost_runs.unwrap_or(0).saturating_sub(PROMPT_RESTARTS);
        match further.checked_sub(1) {
            Some(doublings) => {
                let pause_ms = RESTART_PAUSE_MS.saturating_mul(1 << doublings.min(16));
                pause_ms.min(RESTART_PAUSE_MAX_MS)
            }
            None => 0,
        }
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

    /// Returns whether one of the tasks crashes its upstreams and must not run again.
    pub fn is_exhausted(&self) -> bool {
        self.rows
            .iter()
            .any(|row| row.proved >= PROVED_CRASHES_MAX || row.lost_runs() >= LOST_RUNS_MAX)
    }

    /// Returns whether the unit's next run has its upstreams to itself.
    pub fn is_isolated(&self) -> bool {
        let lost_runs = self.rows.iter().map(CrashRecord::lost_runs).max();
        lost_runs.is_some_and(|lost_runs| lost_runs >= ISOLATED_LOST_RUNS)
    }

    /// Returns how far the unit's next run is kept away from other work, once it has waited for
    /// `waited_ms`.
    pub fn isolation(&self, waited_ms: u64) -> Isolation {
        let crashed = self.rows.iter().any(|row| row.proved + row.unproved > 0);
        match self.is_isolated() {
            true if waited_ms < ISOLATION_WAIT_MAX_MS => Isolation::Required,
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
