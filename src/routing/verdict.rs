//! Failures of calls, with a verdict on whether the request may have run.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It did not run and never will.
    NotRun,
    /// It may have run, or may still run.
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

/// A failed call with its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallFailure {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status to respond with.
    pub status: u16,
    /// The cause, in one sentence.
    pub reason: String,
    /// When to retry, in ms from now, where a retry makes sense.
    pub retry_ms: Option<u64>,
}

impl CallFailure {
    /// Creates the failure of a request that did not run.
    pub fn not_run(status: u16, reason: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            status,
            reason: reason.into(),
            retry_ms: None,
        }
    }

    /// Creates the failure of a request that may have run.
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
