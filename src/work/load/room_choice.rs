//! Whether a unit that does not fit displaces others or waits until room comes free.
//!
//! Load: urgent gangs outside the guarantees, or work close to its objective, on a full pool where
//! wide gangs are almost done: displacing them loses more than the gain, and some end soon anyway.

use crate::work::load::delay_cost::UnitOutlook;

/// Horizons within which runs that end by themselves are counted, in quarters of the slack.
const WAIT_QUARTERS: [u64; 3] = [1, 2, 4];

/// How a unit that does not fit gets its room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomChoice {
    /// Others are displaced.
    Displace,
    /// It waits.
    Wait,
}

/// The two ways to get room for a unit that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomOptions {
    /// The unit's prospects.
    pub outlook: UnitOutlook,
    /// Whether the unit is inside its team's guarantee.
    pub guaranteed: bool,
    /// Time after which runs that end by themselves leave enough room, in ms; `None` if they do not
    /// within its slack.
    pub ends_ms: Option<u64>,
    /// Cost of the cheapest displacement, as `RunningUnit::displacement_cost` gives it; `None` if
    /// none leaves enough room.
    pub displacement_cost: Option<u64>,
    /// Longest time that the displacement takes, in ms.
    pub stop_ms: u64,
}

impl RoomOptions {
    /// Chooses what costs callers less. A guarantee is kept whatever it costs.
    pub fn choose(&self) -> RoomChoice {
        let Some(displacement_cost) = self.displacement_cost else {
            return RoomChoice::Wait;
        };
        if self.guaranteed {
            return RoomChoice::Displace;
        }
        let displaced = self.outlook.delay_cost(self.stop_ms) + displacement_cost;
        match displaced < self.outlook.delay_cost(self.wait_ms()) {
            true => RoomChoice::Displace,
            false => RoomChoice::Wait,
        }
    }

    /// Returns the expected wait; without ends in sight, one that makes the unit no longer awaited.
    fn wait_ms(&self) -> u64 {
        self.ends_ms.unwrap_or(u64::MAX)
    }
}

/// Returns the times after which to look for room that comes free by itself, in ms, ascending. None
/// is shorter than a stop, during which nothing is gained by displacing.
pub fn wait_horizons(slack_ms: i64, stop_ms: u64) -> impl Iterator<Item = u64> {
    let slack_ms = u64::try_from(slack_ms).unwrap_or(0);
    let horizons = WAIT_QUARTERS.map(|quarters| slack_ms * quarters / 4);
    std::iter::once(stop_ms).chain(horizons.into_iter().filter(move |wait| *wait > stop_ms))
}
