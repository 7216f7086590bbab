//! A retry budget, which limits retries to a share of the requests.

/// Balance that one retry costs; a request deposits the permitted percentage.
const RETRY_COST: u64 = 100;
/// Retries that the balance can cover at most.
const BALANCE_MAX_RETRIES: u64 = 20;

/// Each request deposits a fraction of a retry; each retry withdraws a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for 100 requests, with a full balance unless
    /// `percent` is 0.
    pub fn new(percent: u64) -> Self {
        let balance = match percent {
            0 => 0,
            _ => BALANCE_MAX_RETRIES * RETRY_COST,
        };
        Self { percent, balance }
    }

    /// Deposits the share of one request.
    pub fn deposit(&mut self) {
        let balance_max = BALANCE_MAX_RETRIES * RETRY_COST;
        self.balance = (self.balance + self.percent).min(balance_max);
    }

    /// Withdraws one retry and returns whether the balance covered it.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
