//! Reads and checks a settings file; every error names the file and the key.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use eyre::{Report, ensure, eyre};
use serde::de::DeserializeOwned;

/// Reads raw settings and checks them.
///
/// # Errors
///
/// One line that names the file, the key, what was found and what is allowed.
pub fn load_settings<R, C>(path: &Path) -> Result<C, Report>
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = Report>,
{
    let file = path.display();
    let text = fs::read_to_string(path).map_err(|error| eyre!("{file}: {error}"))?;
    let raw = parse_settings::<R>(&text).map_err(|error| eyre!("{file}: {error}"))?;
    C::try_from(raw).map_err(|error| eyre!("{file}: {error}"))
}

/// Parses raw settings from JSON text.
///
/// # Errors
///
/// Names the key and what is allowed there.
pub fn parse_settings<R: DeserializeOwned>(text: &str) -> Result<R, Report> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let raw = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| eyre!("key {}: {}", error.path(), error.inner()))?;
    reader
        .end()
        .map_err(|error| eyre!("after the settings: {error}"))?;
    Ok(raw)
}

/// Checks a number of milliseconds against its range.
///
/// # Errors
///
/// Names the key, the value and the range.
pub fn checked_ms(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<Duration, Report> {
    checked_count(key, value, range).map(Duration::from_millis)
}

/// Checks a number against its range.
///
/// # Errors
///
/// Names the key, the value and the range.
pub fn checked_count(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<u64, Report> {
    ensure!(
        range.contains(&value),
        "key {key}: {value}; allowed are {} to {}",
        range.start(),
        range.end()
    );
    Ok(value)
}
