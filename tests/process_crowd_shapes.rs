//! Further crowds against real gateway and scheduler processes: each shape on each listener that has
//! not met it, bodies without end, and clients that read no answers.

mod support;

use hemlockramp::wire::peer::PeerCall;
use standins::crowd::{
    head_over_the_limit, large_chunks, small_chunks, stalled_body_in_pieces, stalled_message,
    whole_body,
};
use standins::crowd_shapes::{
    UNREAD_REQUESTS, announced_body, endless_extension, endless_trailers, unread_answers,
    unread_calls,
};
use support::crowd_play::{gateway, play_all, scheduler};

const POST_REQUEST: &str = "POST /requests/photos/x HTTP/1.1\r\nHost: x\r\n\
    Hemlockramp-Idempotent: true\r\n";
const POST_REQUEST_EMPTY: &str = "POST /requests/photos/x HTTP/1.1\r\nHost: x\r\n\
    Hemlockramp-Idempotent: true\r\nContent-Length: 0\r\n";
const GET_JOB: &str = "GET /jobs/unknown HTTP/1.1\r\nHost: x\r\n";
const GET_METRICS: &str = "GET /metrics HTTP/1.1\r\nHost: x\r\n";
const GET_PEER: &str = "GET /peer HTTP/1.1\r\nHost: x\r\n";

/// Each listener bears each shape that `process_crowds.rs` sends to another one, and bodies that are
/// legal at each moment and never end.
#[tokio::test(flavor = "multi_thread")]
async fn each_listener_bears_each_shape() {
    play_all(&[
        scheduler("scheduler-head-over", || head_over_the_limit(GET_PEER)),
        scheduler("scheduler-body-whole", || whole_body(GET_PEER)),
        scheduler("scheduler-body-pieces", || stalled_body_in_pieces(GET_PEER)),
        scheduler("scheduler-chunks-large", || large_chunks(GET_PEER)),
        scheduler("scheduler-chunks-small", || small_chunks(GET_PEER)),
        gateway("gateway-extension", || endless_extension(POST_REQUEST)),
        gateway("gateway-trailers", || endless_trailers(POST_REQUEST)),
        gateway("gateway-announced", || announced_body(POST_REQUEST)),
    ])
    .await;
}

/// The processes bear callers that read no answers.
#[tokio::test(flavor = "multi_thread")]
async fn processes_bear_answers_that_nobody_reads() {
    play_all(&[
        gateway("gateway-unread-requests", || {
            unread_answers(POST_REQUEST_EMPTY, UNREAD_REQUESTS)
        }),
        gateway("gateway-unread-jobs", || {
            unread_answers(GET_JOB, UNREAD_REQUESTS)
        }),
        gateway("gateway-unread-metrics", || {
            unread_answers(GET_METRICS, UNREAD_REQUESTS)
        }),
        scheduler("scheduler-unread-metrics", || {
            unread_answers(GET_METRICS, UNREAD_REQUESTS)
        }),
    ])
    .await;
}

/// A scheduler bears peers that read no replies.
#[tokio::test(flavor = "multi_thread")]
async fn a_scheduler_bears_replies_that_no_peer_reads() {
    play_all(&[scheduler("scheduler-unread-replies", || {
        unread_calls(&stalled_message(GET_PEER)[0], &PeerCall::Report)
    })])
    .await;
}
