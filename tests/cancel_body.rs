//! Tests of the body of a cancellation.

use hemlockramp::daemons::cancel_body::{CANCEL_JOBS_MAX, CancelBody};

/// A list of this many ids, and whether it is read.
struct LengthCase {
    ids: usize,
    is_read: bool,
}

#[test]
fn lists_of_ids_are_bounded() {
    let cases = [
        LengthCase {
            ids: 0,
            is_read: true,
        },
        LengthCase {
            ids: CANCEL_JOBS_MAX,
            is_read: true,
        },
        LengthCase {
            ids: CANCEL_JOBS_MAX + 1,
            is_read: false,
        },
    ];
    for case in cases {
        let body = serde_json::json!({ "jobs": vec!["a"; case.ids] });
        let read = serde_json::from_value::<CancelBody>(body);
        assert_eq!(read.is_ok(), case.is_read, "{} ids", case.ids);
        if let Ok(body) = read {
            assert_eq!(body.jobs.len(), case.ids);
        }
    }
}
