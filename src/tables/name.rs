//! Validated names of jobs, teams, hosts and failure domains, cheap to clone.

use std::fmt;
use std::sync::Arc;

use eyre::{Report, ensure};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// An immutable name: 1 to 64 bytes of `a-z A-Z 0-9 . _ : -`.
///
/// Cloning shares the text. Built with `TryFrom`, which fails on any other text.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct ObjectName(Arc<str>);

impl ObjectName {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for ObjectName {
    type Error = Report;

    fn try_from(text: &str) -> Result<Self, Report> {
        ensure!(
            (1..=NAME_MAX_BYTES).contains(&text.len()),
            "a name of {} bytes; allowed are 1 to {NAME_MAX_BYTES}",
            text.len()
        );
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
        ensure!(
            text.bytes().all(allowed),
            "name {text:?}; allowed are letters, digits and . _ : -"
        );
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for ObjectName {
    type Error = Report;

    fn try_from(text: String) -> Result<Self, Report> {
        Self::try_from(text.as_str())
    }
}

impl From<ObjectName> for String {
    fn from(name: ObjectName) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
