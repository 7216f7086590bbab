//! Tests of how long a host works on a call.

use hemlockramp::work::calls::call_budget::{allows_append, time_budget_ms};

struct BudgetCase {
    /// What the caller has left, in ms.
    timeout_ms: u64,
    /// Time to work on the call, in ms.
    budget_ms: u64,
    /// Whether an append may be begun at once.
    appends: bool,
}

/// Callers come back during an outage of the store until their time is over.
#[test]
fn last_calls_of_an_outage_use_what_is_left_of_their_time() {
    let cases = [
        BudgetCase {
            timeout_ms: 30_000,
            budget_ms: 1_800,
            appends: true,
        },
        BudgetCase {
            timeout_ms: 2_000,
            budget_ms: 1_600,
            appends: true,
        },
        BudgetCase {
            timeout_ms: 1_600,
            budget_ms: 1_200,
            appends: true,
        },
        BudgetCase {
            timeout_ms: 400,
            budget_ms: 300,
            appends: true,
        },
        BudgetCase {
            timeout_ms: 47,
            budget_ms: 35,
            appends: true,
        },
        BudgetCase {
            timeout_ms: 12,
            budget_ms: 9,
            appends: false,
        },
        BudgetCase {
            timeout_ms: 0,
            budget_ms: 0,
            appends: false,
        },
    ];
    for case in cases {
        let budget_ms = time_budget_ms(case.timeout_ms);
        assert_eq!(budget_ms, case.budget_ms, "{} ms", case.timeout_ms);
        assert_eq!(
            allows_append(budget_ms),
            case.appends,
            "{} ms",
            case.timeout_ms
        );
    }
}
