//! What becomes of runs whose upstream leaves.
//!
//! Load: upstreams are taken away at a few seconds' notice, others drain for longer, and nobody says
//! which. When one leaves, its runs are lost with it, and that is certain only once its leases are
//! over.

/// Time for the order to stop a run, the list of its end and the record of that, in ms.
const SAVE_MARGIN_MS: u64 = 700;

/// Part of the time still needed by which it may be overestimated, in thousandths.
const NEEDS_ERROR_MILLI: u64 = 250;

/// A unit at work with members on upstreams that leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DepartingUnit {
    /// Time for which all its upstreams stay for certain, in ms.
    pub stays_ms: u64,
    /// Time that the unit still needs, in ms.
    pub needs_ms: u64,
    /// Time that it has worked, in ms.
    pub worked_ms: u64,
    /// Whether a stop saves its work.
    pub checkpoints: bool,
}

/// Times on which the decision depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DepartureLimits {
    /// Longest time that stopping a run takes, in ms.
    pub stop_ms: u64,
    /// Time after which a run that is lost with its upstream is started again, in ms.
    pub silence_ms: u64,
}

/// What to do with a unit now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureStep {
    /// It works on.
    Stay,
    /// It is stopped, which saves its work.
    Save,
    /// It is stopped and starts anew elsewhere.
    Move,
}

impl DepartureStep {
    /// Returns the label that metrics and logs carry.
    pub fn label(self) -> &'static str {
        match self {
            Self::Stay => "stay",
            Self::Save => "save",
            Self::Move => "move",
        }
    }
}

/// Decides what to do with a unit. `has_room` tells whether it fits elsewhere now; it is asked only if
/// the answer matters.
///
/// Work that saves its progress is stopped at the last moment, also without room elsewhere: it loses
/// nothing, and need not be waited for in silence. Other work moves early, as long as it clearly does
/// not end in time and has little to lose: about as many upstreams leave when they may as stay on, so a loss, which costs what was worked
/// by then and the silence after it, is weighed at one half.
pub fn departure_step(
    unit: &DepartingUnit,
    limits: &DepartureLimits,
    has_room: impl FnOnce() -> bool,
) -> DepartureStep {
    if unit.needs_ms <= unit.stays_ms {
        return DepartureStep::Stay;
    }
    if unit.checkpoints {
        return match unit.stays_ms <= limits.stop_ms + SAVE_MARGIN_MS {
            true => DepartureStep::Save,
            false => DepartureStep::Stay,
        };
    }
    let surely_needs_ms = unit.needs_ms - unit.needs_ms * NEEDS_ERROR_MILLI / 1_000;
    if surely_needs_ms <= unit.stays_ms {
        return DepartureStep::Stay;
    }
    let loss_ms = unit.worked_ms + unit.stays_ms + limits.silence_ms;
    match unit.worked_ms <= loss_ms / 2 && has_room() {
        true => DepartureStep::Move,
        false => DepartureStep::Stay,
    }
}
