//! A budget that keeps retries to a share of the requests.

/// Cost of one retry, in hundredths of a request.
const RETRY_COST: u64 = 100;
/// Most retries saved up.
const SAVED_RETRIES_MAX: u64 = 20;

/// Each request pays in a share of a retry; each retry takes out a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    saved: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for 100 requests, full at the start.
    pub fn new(percent: u64) -> Self {
        let saved = match percent {
            0 => 0,
            _ => SAVED_RETRIES_MAX * RETRY_COST,
        };
        Self { percent, saved }
    }

    /// Pays in for a request.
    pub fn note_request(&mut self) {
        let most = SAVED_RETRIES_MAX * RETRY_COST;
        self.saved = (self.saved + self.percent).min(most);
    }

    /// Takes out a retry; returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        let enough = self.saved >= RETRY_COST;
        if enough {
            self.saved -= RETRY_COST;
        }
        enough
    }
}
