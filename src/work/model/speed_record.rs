//! Stored speeds of upstreams: rows of the runs stream that only a new owner reads.
//!
//! Their keys sort after those of all jobs' rows, whose ids are hexadecimal, and before the key of
//! the fence. Older versions skip them.

use std::hash::{DefaultHasher, Hash, Hasher};

use eyre::Report;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::work::model::record::{decode, encode};
use crate::work::model::stream::KeyedValue;

/// Number of rows over which the upstreams are divided, so that a change writes few bytes.
pub const SPEED_ROWS: u64 = 32;
/// Beginning of the rows' keys.
const KEY_PREFIX: &str = "learned/";

/// What is known of one upstream's speed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedRecord {
    #[serde(rename = "n")]
    pub name: ObjectName,
    /// Incarnation of the upstream; 0 if unknown.
    #[serde(rename = "b")]
    pub incarnation: u64,
    /// Evidence on its slowness: a hexadecimal digit for every second cell, 0 for the most likely.
    #[serde(rename = "e")]
    pub evidence: String,
}

/// Returns the number of the row that holds an upstream.
pub fn speed_row_number(name: &ObjectName) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish() % SPEED_ROWS
}

/// Encodes the row with this number.
pub fn encode_speed_row(number: u64, records: &[SpeedRecord]) -> KeyedValue {
    KeyedValue {
        key: format!("{KEY_PREFIX}{number}"),
        value: encode(&records),
    }
}

/// Decodes a row of speeds; `None` for a row of another kind.
pub fn decode_speed_row(entry: &KeyedValue) -> Option<Result<Vec<SpeedRecord>, Report>> {
    entry.key.starts_with(KEY_PREFIX).then(|| decode(entry))
}
