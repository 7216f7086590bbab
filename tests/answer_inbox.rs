//! Tests of the answers that wait for the owner's loop: in which order they are handled, and how many
//! in a turn.

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::task_ref::TaskRef;
use hemlockramp::work::model::upstream::{
    OrderFailure, OrderTarget, RenewOrder, RenewReply, StopOrder,
};
use hemlockramp::work::owner_loop::answer_inbox::AnswerInbox;
use hemlockramp::work::owner_loop::turn_budget::{
    TURN_ANSWERS_MAX, TURN_ANSWERS_MAX_MS, TurnBudget,
};
use hemlockramp::work::owner_loop::upstream_answer::{ArrivedAnswer, UpstreamAnswer};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn target(upstream: &str) -> OrderTarget {
    OrderTarget {
        upstream: name(upstream),
        address: "127.0.0.1:9".parse().expect("an address"),
        fencing_token: 1,
    }
}

fn renewal(upstream: &str, wait_ms: u64) -> UpstreamAnswer {
    let order = RenewOrder {
        target: target(upstream),
        lease_until_ms: None,
        recorded_up_to: 0,
        wait_ms,
    };
    let reply = RenewReply {
        incarnation: 1,
        clock_ms: 0,
        running: Vec::new(),
        ended: Vec::new(),
        ended_is_partial: false,
    };
    UpstreamAnswer::Renewed(order, Ok(reply))
}

fn failed_renewal(upstream: &str) -> UpstreamAnswer {
    match renewal(upstream, 0) {
        UpstreamAnswer::Renewed(order, _) => {
            UpstreamAnswer::Renewed(order, Err(OrderFailure::Silent))
        }
        other => other,
    }
}

fn stop(upstream: &str) -> UpstreamAnswer {
    let order = StopOrder {
        target: target(upstream),
        task: TaskRef::try_from("a.0.0.0").expect("a task"),
        run: 1,
    };
    UpstreamAnswer::Stopped(order, Ok(0))
}

fn upstream_of(arrived: &ArrivedAnswer) -> &str {
    match &arrived.answer {
        UpstreamAnswer::Started(order, _) => order.target.upstream.as_str(),
        UpstreamAnswer::Stopped(order, _) => order.target.upstream.as_str(),
        UpstreamAnswer::Renewed(order, _) => order.target.upstream.as_str(),
    }
}

struct InboxCase {
    name: &'static str,
    /// Answers in the order of arrival, each with the time when its order was sent.
    arrivals: Vec<(UpstreamAnswer, u64)>,
    handled: &'static [&'static str],
}

/// Guards against leases that lapse while their upstream's answer waits.
#[test]
fn waiting_answers_are_handled_by_urgency() {
    let cases = [
        InboxCase {
            name: "nothing",
            arrivals: vec![],
            handled: &[],
        },
        InboxCase {
            name: "the oldest lease first",
            arrivals: vec![
                (renewal("u3", 1_500), 300),
                (renewal("u1", 1_500), 100),
                (stop("u2"), 200),
            ],
            handled: &["u1", "u2", "u3"],
        },
        InboxCase {
            name: "an answer that was asked for at once",
            arrivals: vec![(stop("u1"), 100), (renewal("u2", 0), 400)],
            handled: &["u2", "u1"],
        },
        InboxCase {
            name: "of those that were asked for at once the newest, whose ends can still be acknowledged",
            arrivals: vec![
                (renewal("u2", 0), 500),
                (renewal("u1", 0), 400),
                (stop("u3"), 100),
                (renewal("u4", 0), 300),
            ],
            handled: &["u4", "u1", "u2", "u3"],
        },
        InboxCase {
            name: "a failed probe goes before nothing",
            arrivals: vec![(failed_renewal("u1"), 400), (stop("u2"), 100)],
            handled: &["u2", "u1"],
        },
        InboxCase {
            name: "by arrival otherwise",
            arrivals: vec![(stop("u4"), 100), (stop("u3"), 100)],
            handled: &["u4", "u3"],
        },
    ];
    for case in cases {
        let mut inbox = AnswerInbox::default();
        let count = case.arrivals.len();
        for (arrived_ms, (answer, sent_ms)) in (1_000..).zip(case.arrivals) {
            inbox.push(ArrivedAnswer {
                answer,
                sent_ms,
                arrived_ms,
            });
        }
        let oldest_ms = match count {
            0 => 0,
            _ => 1_000,
        };
        assert_eq!(inbox.oldest_age_ms(2_000), oldest_ms, "{}", case.name);
        let handled: Vec<ArrivedAnswer> = std::iter::from_fn(|| inbox.pop()).collect();
        let handled: Vec<&str> = handled.iter().map(upstream_of).collect();
        assert_eq!(handled, case.handled, "{}", case.name);
        assert!(inbox.is_empty(), "{}", case.name);
    }
}

struct BudgetCase {
    name: &'static str,
    /// Time that each answer takes, in ms.
    answer_ms: u64,
    handled: u64,
}

/// Guards against turns that keep the thread for as long as answers wait.
#[test]
fn turns_are_bounded_in_number_and_time() {
    let cases = [
        BudgetCase {
            name: "answers that take no time",
            answer_ms: 0,
            handled: TURN_ANSWERS_MAX as u64,
        },
        BudgetCase {
            name: "answers that take a ms",
            answer_ms: 1,
            handled: TURN_ANSWERS_MAX_MS,
        },
        BudgetCase {
            name: "answers that take longer than a turn",
            answer_ms: 10 * TURN_ANSWERS_MAX_MS,
            handled: 1,
        },
    ];
    for case in cases {
        let mut now_ms = 5_000;
        let mut budget = TurnBudget::new(now_ms);
        let mut handled = 0;
        while budget.take(now_ms) {
            handled += 1;
            now_ms += case.answer_ms;
        }
        assert_eq!(handled, case.handled, "{}", case.name);
    }
}
