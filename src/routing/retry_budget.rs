//! A budget that keeps retries to a share of the requests.

/// Cost of one retry, in hundredths of a request.
const RETRY_COST: u64 = 100;
/// Most retries saved up.
const BALANCE_MAX_RETRIES: u64 = 20;

/// Each request pays in a share of a retry; each retry takes out a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for 100 requests, full at the start.
    pub fn new(percent: u64) -> Self {
        let balance = match percent {
            0 => 0,
            _ => BALANCE_MAX_RETRIES * RETRY_COST,
        };
        Self { percent, balance }
    }

    /// Pays in for a request.
    pub fn deposit(&mut self) {
        let balance_max = BALANCE_MAX_RETRIES * RETRY_COST;
        self.balance = (self.balance + self.percent).min(balance_max);
    }

    /// Takes out a retry; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
