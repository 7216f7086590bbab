//! The gate that each start passes, from the choice of its upstream to the last repeat of its order.
//!
//! Starts outlast what they were decided on: one waits for its record, or an earlier owner stored it,
//! and meanwhile its upstream has begun to drain, its failure domain has been evacuated or its job
//! cancelled.

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStage {
    /// An upstream is considered for it.
    Placement,
    /// Its record is stored, and it has certainly not been sent.
    Recorded,
    /// This owner or an earlier one may have sent it.
    Repeat,
}

/// What speaks against a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartObstacle {
    /// The unit is no longer to run: its job is over, or its run is being stopped.
    Unwanted,
    /// The failure domain of the upstream is evacuated.
    Evacuated,
    /// The upstream is about to leave.
    Draining,
    /// The upstream is not in the list of upstreams.
    Unlisted,
    /// The upstream does not answer, or has not since its runs were given up.
    Silent,
    /// The upstream has begun a later life than the one that the start is meant for.
    OtherLife,
    /// The upstream has not told this owner yet what runs there.
    Unreconciled,
    /// The upstream has failed or refused runs lately.
    Quarantined,
}

impl StartObstacle {
    /// Returns the label that metrics and logs carry.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unwanted => "unwanted",
            Self::Evacuated => "evacuated",
            Self::Draining => "draining",
            Self::Unlisted => "unlisted",
            Self::Silent => "silent",
            Self::OtherLife => "other life",
            Self::Unreconciled => "unreconciled",
            Self::Quarantined => "quarantined",
        }
    }
}

/// What is known about a start and its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartConditions {
    /// Whether the unit is no longer to run.
    pub unwanted: bool,
    /// Whether the upstream's failure domain is evacuated.
    pub evacuated: bool,
    /// Whether the upstream is about to leave, or has sent no report.
    pub draining: bool,
    /// Whether the upstream is not listed.
    pub unlisted: bool,
    /// Whether the upstream has missed renewals or has not answered since its runs were given up.
    pub silent: bool,
    /// Whether the upstream has begun a later life.
    pub other_life: bool,
    /// Whether the upstream has not answered this owner and may hold runs.
    pub unreconciled: bool,
    /// Whether the upstream is quarantined.
    pub quarantined: bool,
}

/// The gate's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    /// The start goes on.
    Pass,
    /// Nothing is decided yet: the start is considered again later.
    Wait(StartObstacle),
    /// The start never goes out.
    Withhold(StartObstacle),
}

/// Decides whether a start goes on.
///
/// A start that may have been sent before waits for the upstream to tell what runs there: a run that
/// is at work runs on, wherever it is. Only one that the upstream does not know is withheld, and the
/// caller must then stop it there, since an earlier copy of the order may still be on its way.
pub fn start_verdict(stage: StartStage, conditions: &StartConditions) -> StartVerdict {
    let held_up = match stage {
        StartStage::Repeat => first_obstacle(&[
            (conditions.unreconciled, StartObstacle::Unreconciled),
            (conditions.silent, StartObstacle::Silent),
            (conditions.other_life, StartObstacle::OtherLife),
        ]),
        StartStage::Placement | StartStage::Recorded => None,
    };
    if let Some(obstacle) = held_up.filter(|_| !conditions.unwanted) {
        return StartVerdict::Wait(obstacle);
    }
    let lasting = first_obstacle(&[
        (conditions.unwanted, StartObstacle::Unwanted),
        (conditions.evacuated, StartObstacle::Evacuated),
        (conditions.draining, StartObstacle::Draining),
        (conditions.silent, StartObstacle::Silent),
        (conditions.other_life, StartObstacle::OtherLife),
    ]);
    // A chosen upstream may well leave the list or fail other runs: it still answers orders.
    let at_choice = match stage {
        StartStage::Placement => first_obstacle(&[
            (conditions.unlisted, StartObstacle::Unlisted),
            (conditions.unreconciled, StartObstacle::Unreconciled),
            (conditions.quarantined, StartObstacle::Quarantined),
        ]),
        StartStage::Recorded | StartStage::Repeat => None,
    };
    match lasting.or(at_choice) {
        Some(obstacle) => StartVerdict::Withhold(obstacle),
        None => StartVerdict::Pass,
    }
}

fn first_obstacle(checks: &[(bool, StartObstacle)]) -> Option<StartObstacle> {
    let found = checks.iter().find(|(applies, _)| *applies);
    found.map(|(_, obstacle)| *obstacle)
}
