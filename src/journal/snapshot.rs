//! Snapshots: the folded state written to the log in checked parts.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::{Report, ensure, eyre};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::journal::client::{LogStore, ReadRange};
use crate::journal::state::FoldState;
use crate::routing::verdict::CallFailure;
use crate::tables::name::ObjectName;

/// Bytes of state in one part, before base64.
const PART_BYTES: usize = 48 * 1024;
/// Parts in one append.
const PARTS_PER_APPEND: usize = 8;
/// Parts read at once.
const READ_PARTS_MAX: usize = 64;

/// One part of a snapshot, as it stands in the snapshot stream (JSON text).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Random id that all parts share.
    pub snapshot: u64,
    /// Offset of the first journal record that it does not cover.
    pub covers: u64,
    /// Index of this part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Hash of the whole state's bytes.
    pub checksum: u64,
    /// Bytes of this part, in base64.
    pub data: String,
}

/// Splits a state into parts.
///
/// # Errors
///
/// Fails only if the state cannot be encoded.
pub fn split_state(state: &FoldState, snapshot: u64) -> Result<Vec<SnapshotPart>, Report> {
    let mut bytes = Vec::new();
    ciborium::into_writer(state, &mut bytes)?;
    let checksum = xxh3_64(&bytes);
    let chunks: Vec<&[u8]> = bytes.chunks(PART_BYTES).collect();
    let count = u32::try_from(chunks.len())?;
    let parts = chunks.iter().zip(0..).map(|(chunk, index)| SnapshotPart {
        snapshot,
        covers: state.next_offset,
        index,
        count,
        checksum,
        data: STANDARD.encode(chunk),
    });
    Ok(parts.collect())
}

/// Joins the parts of one snapshot.
///
/// # Errors
///
/// Fails when a part is missing or the checksum differs.
pub fn join_parts(parts: &[SnapshotPart]) -> Result<FoldState, Report> {
    let first = parts.first().ok_or_else(|| eyre!("no parts"))?;
    ensure!(
        parts.len() == first.count as usize,
        "{} of {} parts",
        parts.len(),
        first.count
    );
    let mut bytes = Vec::new();
    for (part, index) in parts.iter().zip(0u32..) {
        ensure!(part.index == index, "part {index} is missing");
        bytes.extend(STANDARD.decode(&part.data)?);
    }
    ensure!(xxh3_64(&bytes) == first.checksum, "the checksum differs");
    Ok(ciborium::from_reader(bytes.as_slice())?)
}

/// Appends a snapshot to its stream.
///
/// # Errors
///
/// Fails when an append is not confirmed; the snapshot then counts as incomplete.
pub async fn write_snapshot<L: LogStore>(
    log: &L,
    stream: &ObjectName,
    parts: &[SnapshotPart],
) -> Result<(), Report> {
    for group in parts.chunks(PARTS_PER_APPEND) {
        let texts: Result<Vec<String>, _> = group.iter().map(serde_json::to_string).collect();
        log.append(stream, texts?).await?;
    }
    Ok(())
}

/// Parts of one snapshot read so far.
struct PartialSnapshot {
    snapshot: u64,
    parts: Vec<SnapshotPart>,
}

/// Reads the newest whole snapshot.
///
/// Parts of two writers may be mixed; incomplete and damaged snapshots are passed over.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub async fn read_newest_snapshot<L: LogStore>(
    log: &L,
    stream: &ObjectName,
) -> Result<Option<FoldState>, CallFailure> {
    let mut partials: Vec<PartialSnapshot> = Vec::new();
    let mut newest: Option<FoldState> = None;
    let mut from = 0;
    loop {
        let range = ReadRange {
            from,
            max: READ_PARTS_MAX,
            wait_ms: 0,
        };
        let response = log.read(stream, range).await?;
        let Some(last) = response.records.last() else {
            return Ok(newest);
        };
        from = last.offset + 1;
        for record in &response.records {
            if let Ok(part) = serde_json::from_str::<SnapshotPart>(&record.text) {
                collect_part(&mut partials, part, &mut newest);
            }
        }
    }
}

fn collect_part(
    partials: &mut Vec<PartialSnapshot>,
    part: SnapshotPart,
    newest: &mut Option<FoldState>,
) {
    let index = partials
        .iter()
        .position(|partial| partial.snapshot == part.snapshot);
    let index = index.unwrap_or_else(|| {
        partials.push(PartialSnapshot {
            snapshot: part.snapshot,
            parts: Vec::new(),
        });
        partials.len() - 1
    });
    let expected = part.count as usize;
    partials[index].parts.push(part);
    if partials[index].parts.len() < expected {
        return;
    }
    let mut partial = partials.swap_remove(index);
    partial.parts.sort_by_key(|part| part.index);
    match join_parts(&partial.parts) {
        Ok(state)
            if newest
                .as_ref()
                .is_none_or(|old| old.next_offset < state.next_offset) =>
        {
            *newest = Some(state);
        }
        Ok(_) => {}
        Err(error) => log::warn!("snapshot: {:x} is passed over: {error}.", partial.snapshot),
    }
}
