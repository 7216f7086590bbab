//! Legal bodies that take far more memory once they are parsed, against real gateway and scheduler
//! processes.

mod support;

use standins::crowd_shapes::{many_names, many_teams};
use support::crowd_play::{gateway, play_all};

const POST_CANCELLATIONS: &str =
    "POST /cancellations HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n";
const POST_TICKET: &str = "POST /tickets HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n";

/// The processes bear legal bodies that take more memory once they are parsed.
#[tokio::test(flavor = "multi_thread")]
async fn processes_bear_bodies_of_many_parts() {
    play_all(&[
        gateway("gateway-many-names", || many_names(POST_CANCELLATIONS)),
        gateway("gateway-many-teams", || many_teams(POST_TICKET)),
    ])
    .await;
}
