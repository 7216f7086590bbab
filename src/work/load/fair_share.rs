//! How much of a pool a team holds against its fair share.
//!
//! Load: one team submits most of the work, and a small team's jobs wait behind it though they are
//! neither less urgent nor later. What the guarantees leave idle goes by weighted shares.

/// Level of a team's holdings; the lower one's work goes first among equals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareLevel {
    /// Within its share.
    #[default]
    Within,
    /// Above its share, up to twice it.
    Above,
    /// Above twice its share.
    FarAbove,
}

/// Accelerators of a team in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamHolding {
    /// Accelerators that its work of all priorities holds.
    pub held: u64,
    /// Accelerators guaranteed to it.
    pub guaranteed: u64,
}

impl TeamHolding {
    /// Returns the team's level, where `teams` teams with open work share `accelerators`. Its share
    /// is its guarantee or an equal part, whichever is larger.
    pub fn level(&self, accelerators: u64, teams: u64) -> ShareLevel {
        let equal = accelerators / teams.max(1);
        let share = self.guaranteed.max(equal);
        match self.held {
            held if held <= share => ShareLevel::Within,
            held if held <= 2 * share => ShareLevel::Above,
            _ => ShareLevel::FarAbove,
        }
    }
}
