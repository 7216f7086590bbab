//! The folded state of a region.

use serde::{Deserialize, Serialize};

use crate::journal::dedup::DedupTable;
use crate::tables::audit::AuditTable;
use crate::tables::cell::{CellShape, LevelCounts};
use crate::tables::job::JobTable;
use crate::tables::key::KeyTable;
use crate::tables::name::ObjectName;
use crate::tables::rack::{RackRow, RackTable};
use crate::tables::team::TeamTable;
use crate::tables::ticket::TicketTable;

/// All tables of a region. The same log prefix gives the same state everywhere.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FoldState {
    /// Offset of the next record to fold.
    pub next_offset: u64,
    /// Log time of the newest record, in ms; never goes back.
    pub now_ms: u64,
    /// Offset up to which the newest snapshot covers the log.
    pub snapshot_covers: u64,
    /// Log time of that snapshot, in ms.
    pub snapshot_ms: u64,
    /// Racks and workers.
    pub racks: RackTable,
    /// Teams and bindings.
    pub teams: TeamTable,
    /// Jobs.
    pub jobs: JobTable,
    /// Idempotency keys.
    pub keys: KeyTable,
    /// Tickets.
    pub tickets: TicketTable,
    /// Audit trail.
    pub audit: AuditTable,
    /// Record ids seen.
    pub seen: DedupTable,
}

/// Part of a team's guarantee that the healthy workers cannot hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShortGuarantee {
    /// The team.
    pub team: ObjectName,
    /// The failure domain.
    pub domain: ObjectName,
    /// The shape.
    pub shape: CellShape,
    /// Cells guaranteed.
    pub guaranteed: u32,
    /// Cells of these that cannot be given now.
    pub short: u32,
}

impl FoldState {
    /// Returns how many cells of a guarantee have a place.
    pub fn count_bound(&self, team: &ObjectName, domain: &ObjectName, shape: CellShape) -> u32 {
        let bound = self.teams.bindings.iter().filter(|row| {
            row.span.shape == shape && row.team == *team && self.is_in(row.span.rack, domain)
        });
        bound.count() as u32
    }

    fn is_in(&self, rack: u32, domain: &ObjectName) -> bool {
        self.racks
            .row(rack)
            .is_some_and(|row| row.domain == *domain)
    }

    /// Counts the guaranteed cells of a failure domain that have no place yet.
    pub fn unbound_cells(&self, domain: &ObjectName) -> LevelCounts {
        let mut counts = LevelCounts::default();
        for row in &self.teams.rows {
            let guarantees = row
                .spec
                .guarantees
                .iter()
                .filter(|guarantee| guarantee.domain == *domain);
            guarantees.for_each(|guarantee| guarantee.add_to(&mut counts));
        }
        for row in &self.teams.bindings {
            if self.is_in(row.span.rack, domain) {
                counts.0[row.span.shape.level()] -= 1;
            }
        }
        counts
    }

    /// Returns the accelerators of unclaimed guarantees that could not be packed
    /// even if all borrowed work left. Zero is the promise to the teams.
    pub fn shortage(&self, domain: &ObjectName) -> i64 {
        let free = self.racks.count_cells(domain, RackRow::reclaimable);
        free.shortage(&self.unbound_cells(domain))
    }

    /// Lists guarantees that the healthy workers cannot hold, largest shapes served first,
    /// equal shapes in the order of the teams' names.
    pub fn short_guarantees(&self) -> Vec<ShortGuarantee> {
        let mut short = Vec::new();
        for domain in self.racks.domains() {
            if self.shortage(&domain) > 0 {
                self.push_short_guarantees(&domain, &mut short);
            }
        }
        short
    }

    fn push_short_guarantees(&self, domain: &ObjectName, short: &mut Vec<ShortGuarantee>) {
        let free = self.racks.count_cells(domain, RackRow::reclaimable);
        let mut served = LevelCounts::default();
        let mut guarantees: Vec<_> = self
            .teams
            .rows
            .iter()
            .flat_map(|row| {
                row.spec
                    .guarantees
                    .iter()
                    .map(move |guarantee| (row, guarantee))
            })
            .filter(|(_, guarantee)| guarantee.domain == *domain)
            .collect();
        guarantees.sort_by_key(|(_, guarantee)| std::cmp::Reverse(guarantee.shape));
        for (row, guarantee) in guarantees {
            let unbound = guarantee.count.saturating_sub(self.count_bound(
                &row.spec.team,
                domain,
                guarantee.shape,
            ));
            let level = guarantee.shape.level();
            let mut missing = 0;
            for _ in 0..unbound {
                served.0[level] += 1;
                if free.shortage(&served) > 0 {
                    served.0[level] -= 1;
                    missing += 1;
                }
            }
            if missing > 0 {
                short.push(ShortGuarantee {
                    team: row.spec.team.clone(),
                    domain: domain.clone(),
                    shape: guarantee.shape,
                    guaranteed: guarantee.count,
                    short: missing,
                });
            }
        }
    }

    /// Returns the accelerators a team's attempts hold or are reclaiming.
    pub fn team_accelerators(&self, team: &ObjectName) -> u32 {
        let attempts = self.jobs.active().filter(|(job, _)| job.spec.team == *team);
        attempts.map(|(job, _)| job.spec.accelerators()).sum()
    }

    /// Returns a hash of the whole state, equal on hosts that folded the same prefix.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}
