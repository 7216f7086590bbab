//! Compares the platform's host list with the folded workers.

use crate::journal::record::{RecordBody, WorkerRecord};
use crate::journal::state::FoldState;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::tables::worker::{WorkerRow, WorkerState};

/// A folded worker's name and place.
struct NamedSlot<'a> {
    name: &'a ObjectName,
    slot: WorkerSlot,
}

/// Returns records that bring the folded workers up to the host list.
///
/// `listed` is sorted by name, `down` by place; `down` names workers whose keeper gets
/// no answer.
pub fn reconcile_hosts(
    state: &FoldState,
    listed: &[WorkerRecord],
    down: &[WorkerSlot],
) -> Vec<RecordBody> {
    let mut records = Vec::new();
    let mut current: Vec<NamedSlot<'_>> = Vec::new();
    for (slot, worker) in state.racks.workers() {
        if worker.state == WorkerState::Gone {
            continue;
        }
        let name = &worker.name;
        current.push(NamedSlot { name, slot });
        if listed.binary_search_by(|seen| seen.name.cmp(name)).is_err() {
            records.extend(gone_record(state, slot, worker));
        }
    }
    current.sort_by_key(|row| row.name);
    for seen in listed {
        let found = current.binary_search_by(|row| row.name.cmp(&seen.name));
        let slot = found.ok().map(|index| current[index].slot);
        let mut target = seen.clone();
        if slot.is_some_and(|slot| down.binary_search(&slot).is_ok()) {
            target.state = WorkerState::Down;
        }
        let worker = slot.and_then(|slot| state.racks.worker(slot));
        if worker.is_none_or(|worker| is_changed(worker, &target)) {
            records.push(RecordBody::Worker(target));
        }
    }
    records
}

fn is_changed(worker: &WorkerRow, seen: &WorkerRecord) -> bool {
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
