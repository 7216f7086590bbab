//! Says of every failure whether the request may have run.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It surely did not run and never will.
    NotRun,
    /// It may have run, or may still.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

/// A failure with its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallFailure {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status to answer with.
    pub status: u16,
    /// Why, in one sentence.
    pub reason: String,
    /// When to try again, in ms from now, where that makes sense.
    pub retry_ms: Option<u64>,
}

impl CallFailure {
    /// Creates a failure that surely did not run.
    pub fn not_run(status: u16, reason: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            status,
            reason: reason.into(),
            retry_ms: None,
        }
    }

    /// Creates a failure that may have run.
    pub fn may_have_run(status: u16, reason: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::MayHaveRun,
            status,
            reason: reason.into(),
            retry_ms: None,
        }
    }

    /// Adds a time after which a retry makes sense.
    pub fn retry_after(mut self, retry_ms: u64) -> Self {
        self.retry_ms = Some(retry_ms);
        self
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.verdict, self.reason)
    }
}

impl std::error::Error for CallFailure {}
