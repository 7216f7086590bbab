//! What else is known of an upstream on which a step has failed.

/// What else is known of an upstream on which a step has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureStanding {
    /// It completes runs, and no other step speaks against it: the step is the likelier cause.
    Sound,
    /// It has completed no run yet, unlike most of the pool, and no other step speaks against it.
    Unproven,
    /// Other steps fail there too.
    Corroborated,
}

/// Number of upstreams on which a step has failed, by their standing.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandingCounts {
    /// Sound ones.
    pub sound: usize,
    /// All others.
    pub doubtful: usize,
}

impl StandingCounts {
    /// Returns the count that upstreams of this standing belong to.
    pub fn of(&mut self, standing: FailureStanding) -> &mut usize {
        match standing {
            FailureStanding::Sound => &mut self.sound,
            FailureStanding::Unproven | FailureStanding::Corroborated => &mut self.doubtful,
        }
    }
}
