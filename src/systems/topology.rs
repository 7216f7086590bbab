//! Compares the platform's host list with the folded workers.

use crate::journal::record::{RecordBody, WorkerRecord};
use crate::journal::state::FoldState;
use crate::tables::rack::WorkerSlot;
use crate::tables::worker::{WorkerRow, WorkerState};

/// Returns records that bring the folded workers up to the host list.
///
/// `down` names workers whose keeper gets no answer.
pub fn compare_hosts(
    state: &FoldState,
    listed: &[WorkerRecord],
    down: &[WorkerSlot],
) -> Vec<RecordBody> {
    let mut records = Vec::new();
    for (slot, worker) in state.racks.workers() {
        let seen = listed.iter().find(|seen| seen.name == worker.name);
        if seen.is_none() && worker.state != WorkerState::Gone {
            records.extend(gone_record(state, slot, worker));
        }
    }
    for seen in listed {
        let slot = state.racks.find_worker(&seen.name);
        let mut wanted = seen.clone();
        if slot.is_some_and(|slot| down.contains(&slot)) {
            wanted.state = WorkerState::Down;
        }
        let known = slot.and_then(|slot| state.racks.worker(slot));
        if known.is_none_or(|worker| differs(worker, &wanted)) {
            records.push(RecordBody::Worker(wanted));
        }
    }
    records
}

fn differs(worker: &WorkerRow, seen: &WorkerRecord) -> bool {
    worker.state != seen.state
        || worker.address != seen.address
        || worker.accelerators != seen.accelerators
}

fn gone_record(state: &FoldState, slot: WorkerSlot, worker: &WorkerRow) -> Option<RecordBody> {
    let rack = state.racks.row(slot.rack)?;
    Some(RecordBody::Worker(WorkerRecord {
        name: worker.name.clone(),
        domain: rack.domain.clone(),
        rack: rack.name.clone(),
        position: slot.position,
        accelerators: worker.accelerators,
        address: worker.address,
        state: WorkerState::Gone,
    }))
}
