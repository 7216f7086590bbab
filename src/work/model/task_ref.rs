//! References to tasks, with their text form `JOB.ROUND.STEP.INDEX`.

use std::fmt;

use eyre::{Report, eyre};
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// Reference to a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    pub job: ObjectName,
    /// Round of a repeating job, from 0; 0 for other jobs.
    pub round: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.job, self.round, self.step, self.index
        )
    }
}

impl TryFrom<&str> for TaskRef {
    type Error = Report;

    fn try_from(text: &str) -> Result<Self, Report> {
        let bad = || eyre!("{text:?} is not a task reference; expected JOB.ROUND.STEP.INDEX");
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let index = number().ok_or_else(bad)?;
        let step = number().ok_or_else(bad)?;
        let round = number().ok_or_else(bad)?;
        let job = ObjectName::try_from(parts.next().ok_or_else(bad)?)?;
        Ok(Self {
            job,
            round,
            step,
            index,
        })
    }
}
