//! Body of a cancellation.

use std::fmt;

use schemars::JsonSchema;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::tables::name::ObjectName;

/// Largest number of jobs in one cancellation.
pub const CANCEL_JOBS_MAX: usize = 10_000;

/// Body of a cancellation.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// Ids of the jobs to cancel; at most `CANCEL_JOBS_MAX`.
    #[serde(deserialize_with = "read_jobs")]
    pub jobs: Vec<ObjectName>,
}

/// Reads ids up to the largest number of them. A longer list is refused before it is read whole.
fn read_jobs<'de, D: Deserializer<'de>>(reader: D) -> Result<Vec<ObjectName>, D::Error> {
    reader.deserialize_seq(JobsVisitor)
}

struct JobsVisitor;

impl<'de> Visitor<'de> for JobsVisitor {
    type Value = Vec<ObjectName>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of at most {CANCEL_JOBS_MAX} ids of jobs")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut jobs = Vec::new();
        while let Some(job) = list.next_element()? {
            if jobs.len() == CANCEL_JOBS_MAX {
                return Err(A::Error::invalid_length(CANCEL_JOBS_MAX + 1, &self));
            }
            jobs.push(job);
        }
        Ok(jobs)
    }
}
