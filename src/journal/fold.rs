//! The fold: applies one record to the state and says what became of it.

use crate::journal::record::{JournalRecord, RecordBody, RecordId};
use crate::journal::state::FoldState;
use crate::tables::audit::AuditRow;
use crate::tables::name::ObjectName;

/// Records between two removals of expired rows.
const PRUNE_EVERY_RECORDS: u64 = 256;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldVerdict {
    /// It is in force.
    Accepted,
    /// It relied on something that no longer held; nothing changed.
    Refused(String),
    /// Its id stood in the log before; nothing changed.
    Repeat,
}

/// A record with its place in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalEntry {
    /// Its offset.
    pub offset: u64,
    /// The log's time for it, in ms.
    pub at_ms: u64,
    /// The record; none when its text could not be read.
    pub record: Option<JournalRecord>,
}

/// What folding one record settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldResult {
    /// The offset folded.
    pub offset: u64,
    /// The settled id: the record's own, or the one that a `Void` took out.
    pub resolved: Option<RecordId>,
    /// What became of that id's record.
    pub verdict: FoldVerdict,
}

impl FoldState {
    /// Applies the next record. Offsets must follow each other without a gap.
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
        // Task reports and intents that pass are the bulk; the tables keep their effect.
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
