//! Log records as JSON lines.

use std::fmt::Display;
use std::io::{self, Write};

use log::kv::{Key, Value, VisitSource};
use serde::ser::SerializeMap;
use serde::{Serialize, Serializer};

/// Writes a record as one JSON line. `time` is when it was logged.
///
/// # Errors
///
/// Returns the errors of the output.
pub fn write_json_line(
    mut output: impl Write,
    time: impl Display,
    record: &log::Record,
) -> io::Result<()> {
    let line = LogLine {
        fields: LogFields(record),
        level: record.level().as_str(),
        message: DisplayText(record.args()),
        part: record.target(),
        time: DisplayText(time),
    };
    serde_json::to_writer(&mut output, &line)?;
    output.write_all(b"\n")
}

#[derive(Serialize)]
#[serde(bound = "T: Display")]
struct LogLine<'a, T: Display> {
    fields: LogFields<'a>,
    level: &'a str,
    message: DisplayText<&'a std::fmt::Arguments<'a>>,
    part: &'a str,
    time: DisplayText<T>,
}

/// A value that is written as text.
struct DisplayText<T>(T);

impl<T: Display> Serialize for DisplayText<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// The fields of a record; those that cannot be visited are left out of the line.
struct LogFields<'a>(&'a log::Record<'a>);

impl Serialize for LogFields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let source = self.0.key_values();
        let mut fields = FieldMap {
            map: serializer.serialize_map(None)?,
            failure: None,
        };
        let _ = source.visit(&mut fields);
        match fields.failure {
            Some(error) => Err(error),
            None => fields.map.end(),
        }
    }
}

struct FieldMap<M: SerializeMap> {
    map: M,
    failure: Option<M::Error>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for FieldMap<M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let written = self.map.serialize_entry(key.as_str(), &DisplayText(value));
        written.map_err(|error| {
            self.failure = Some(error);
            log::kv::Error::msg("the output failed")
        })
    }
}
