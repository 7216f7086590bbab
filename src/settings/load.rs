//! Loads a JSON settings file and checks its values; errors name the file and the key.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use eyre::{Report, ensure, eyre};
use serde::de::DeserializeOwned;

/// Loads settings from a JSON file and checks their ranges.
///
/// # Errors
///
/// Returns a one-line error with the file if it cannot be read; for invalid settings, also with
/// the key, the value found and the allowed values.
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

/// Parses settings from JSON text, without range checks.
///
/// # Errors
///
/// Returns an error that names the key and what is allowed there, or says that text follows the
/// settings object.
pub fn parse_settings<R: DeserializeOwned>(text: &str) -> Result<R, Report> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let raw = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| eyre!("key {}: {}", error.path(), error.inner()))?;
    reader
        .end()
        .map_err(|error| eyre!("unexpected text after the settings: {error}"))?;
    Ok(raw)
}

/// Checks that a number of milliseconds is within `range` and converts it to a duration.
///
/// # Errors
///
/// Returns an error with the key, the value and the range if the value is out of range.
pub fn checked_ms(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<Duration, Report> {
    checked_count(key, value, range).map(Duration::from_millis)
}

/// Checks that a number is within `range`.
///
/// # Errors
///
/// Returns an error with the key, the value and the range if the value is out of range.
pub fn checked_count(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<u64, Report> {
    ensure!(
        range.contains(&value),
        "key {key}: {value} is out of range; allowed are {} to {}",
        range.start(),
        range.end()
    );
    Ok(value)
}
