//! The fold: applies journal records to the state, one at a time and deterministically.

use crate::journal::record::{JournalRecord, RecordBody, RecordId};
use crate::journal::state::FoldState;
use crate::tables::audit::AuditRow;
use crate::tables::name::ObjectName;

/// Expired rows are pruned at every offset that is a multiple of this.
const PRUNE_EVERY_RECORDS: u64 = 256;

/// The result of validating a record against the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldVerdict {
    /// The record was applied.
    Accepted,
    /// A precondition of the record did not hold; nothing changed. Carries the reason.
    Refused(String),
    /// A record with the same id is already in the log; nothing changed.
    Repeat,
}

/// A record as read from the log, with its offset and time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalEntry {
    pub offset: u64,
    /// Time that the log assigned to the record, in Unix ms.
    pub at_ms: u64,
    /// The record; `None` when its text could not be decoded.
    pub record: Option<JournalRecord>,
}

/// The result of applying one journal entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldResult {
    /// Offset of the entry.
    pub offset: u64,
    /// The id that this entry resolved: the record's own, or the one that a `Void` invalidated.
    pub resolved: Option<RecordId>,
    /// The verdict on the record with the id in `resolved`.
    pub verdict: FoldVerdict,
}

impl FoldState {
    /// Applies the next entry. Entries must be passed in offset order without gaps.
    pub fn apply(&mut self, entry: &JournalEntry) -> FoldResult {
        self.next_offset = entry.offset + 1;
        self.now_ms = self.now_ms.max(entry.at_ms);
        if entry.offset.is_multiple_of(PRUNE_EVERY_RECORDS) {
            self.prune();
        }
        let Some(record) = &entry.record else {
            return self.refuse_unreadable(entry.offset);
        };
        if !self.seen.insert(record.id, self.now_ms) {
            return FoldResult {
                offset: entry.offset,
                resolved: None,
                verdict: FoldVerdict::Repeat,
            };
        }
        if let RecordBody::Void(id) = record.body {
            return self.apply_void(entry.offset, record, id);
        }
        let verdict = match self.apply_body(entry.offset, record) {
            Ok(()) => FoldVerdict::Accepted,
            Err(reason) => FoldVerdict::Refused(reason),
        };
        self.write_audit(entry.offset, record, &verdict);
        FoldResult {
            offset: entry.offset,
            resolved: Some(record.id),
            verdict,
        }
    }

    fn apply_body(&mut self, offset: u64, record: &JournalRecord) -> Result<(), String> {
        match &record.body {
            RecordBody::Submit(job) => self.apply_submit(offset, job),
            RecordBody::Cancel(cancel) => self.apply_cancel(offset, cancel),
            RecordBody::Ticket(ticket) => self.apply_ticket(offset, ticket),
            RecordBody::Worker(worker) => self.apply_worker(worker),
            RecordBody::Probation(slot) => self.apply_probation(*slot),
            RecordBody::Place(place) => self.apply_place(offset, place),
            RecordBody::Evict(evict) => self.apply_evict(offset, evict),
            RecordBody::Reject(reject) => self.apply_reject(offset, reject),
            RecordBody::Tasks(reports) => self.apply_tasks(offset, reports),
            RecordBody::Intent(intent) => self.apply_intent(offset, intent),
            RecordBody::Outcome(outcome) => self.apply_outcome(outcome),
            RecordBody::Snapshot(done) => self.apply_snapshot(done.covers),
            RecordBody::Void(_) => Ok(()),
        }
    }

    fn apply_void(&mut self, offset: u64, record: &JournalRecord, id: RecordId) -> FoldResult {
        let is_new = self.seen.insert(id, self.now_ms);
        let verdict = FoldVerdict::Refused("voided before it stood in the log".to_owned());
        self.write_audit(offset, record, &FoldVerdict::Accepted);
        FoldResult {
            offset,
            resolved: is_new.then_some(id),
            verdict,
        }
    }

    fn apply_snapshot(&mut self, covers: u64) -> Result<(), String> {
        if covers <= self.snapshot_covers {
            return Err("a newer snapshot stands".to_owned());
        }
        self.snapshot_covers = covers;
        self.snapshot_ms = self.now_ms;
        Ok(())
    }

    fn refuse_unreadable(&mut self, offset: u64) -> FoldResult {
        FoldResult {
            offset,
            resolved: None,
            verdict: FoldVerdict::Refused("not a record of this journal".to_owned()),
        }
    }

    fn write_audit(&mut self, offset: u64, record: &JournalRecord, verdict: &FoldVerdict) {
        // Accepted task reports, intents and outcomes are most of the journal and are left out of
        // the audit trail; the tables hold their effect.
        let high_volume = matches!(
            record.body,
            RecordBody::Tasks(_) | RecordBody::Intent(_) | RecordBody::Outcome(_)
        );
        let refused = match verdict {
            FoldVerdict::Refused(reason) => Some(reason.clone()),
            _ if high_volume => return,
            _ => None,
        };
        self.audit.push(AuditRow {
            offset,
            at_ms: self.now_ms,
            actor: audit_actor(record),
            kind: record.body.kind().to_owned(),
            subject: record.body.subject(),
            refused,
        });
    }

    fn prune(&mut self) {
        self.seen.prune(self.now_ms);
        self.prune_jobs();
        self.prune_keys();
    }
}

fn audit_actor(record: &JournalRecord) -> ObjectName {
    match &record.body {
        RecordBody::Ticket(ticket) => ticket.author.clone(),
        _ => record.host.clone(),
    }
}
