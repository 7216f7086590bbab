//! A caller's request on its way through a host: its head, its admission and its refusal.

use crate::tables::name::ObjectName;
use crate::work::model::config::QueueRule;

/// A caller's request, without its body.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Host name that the caller used, without a port.
    pub host: String,
    pub path: String,
    /// API key, if the caller sent one.
    pub key: Option<String>,
    /// Time that the caller waits for the response, in ms.
    pub timeout_ms: u64,
}

/// A call that passed admission.
#[derive(Clone, Debug)]
pub struct AdmittedCall {
    pub queue: ObjectName,
    /// Version of the configuration that admitted the call.
    pub config_version: u64,
    /// The queue's scheduling policy.
    pub rule: QueueRule,
    /// The caller's team; none on a public route without a known key.
    pub team: Option<ObjectName>,
    /// The path after the route's prefix.
    pub subpath: String,
    /// When the answer or refusal is due, steady ms.
    pub deadline_ms: u64,
    /// Maximum body size, in bytes.
    pub body_max_bytes: usize,
}

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// No route matches the host and path.
    UnknownRoute,
    /// The key belongs to no team.
    UnknownKey,
    /// No job has this id.
    UnknownJob,
    /// Nothing was stored and nothing will run; the caller may retry.
    NotRun {
        /// Delay after which the caller should retry, in ms.
        retry_ms: u64,
        reason: String,
    },
    /// Nothing was stored, and the same call can never succeed; the text is the reason.
    NotStorable(String),
    /// The record may or may not have been stored.
    Unsure,
}
