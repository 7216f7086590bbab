//! Writes snapshots of the folded state, well before the log's retention expires.

use std::time::Duration;

use eyre::Report;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::journal::record::{RecordBody, SnapshotRecord};
use crate::journal::snapshot::{split_state, write_snapshot};

/// Subject under which rendezvous hashing selects the host that writes snapshots.
const SNAPSHOT_SUBJECT: &str = "snapshot";
const CHECK_INTERVAL_MS: u64 = 500;

/// Writes a snapshot whenever one is due and this host is selected; never returns.
pub async fn run_snapshotter(context: SharedContext) {
    let mut ticks = interval(Duration::from_millis(CHECK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let live = context.live_hosts();
        if context.is_current() && context.owns(SNAPSHOT_SUBJECT, &live) && is_due(&context) {
            match write_one(&context).await {
                Ok(covers) => log::info!("snapshot: written, covers records before {covers}."),
                Err(error) => log::warn!("snapshot: writing failed and is tried again: {error}."),
            }
        }
    }
}

fn is_due(context: &SharedContext) -> bool {
    let now_ms = context.view.log_now_ms();
    let state = context.view.state();
    let records = state.next_offset.saturating_sub(state.snapshot_covers);
    let age_ms = now_ms.saturating_sub(state.snapshot_ms);
    let timing = &context.settings.timing;
    // A quiet journal needs one as well, since the previous snapshot itself expires.
    let aged = records > 0 && u128::from(age_ms) >= timing.snapshot_every.as_millis();
    records >= timing.snapshot_every_records || aged
}

async fn write_one(context: &SharedContext) -> Result<u64, Report> {
    let (parts, covers) = {
        let state = context.view.state();
        (split_state(&state, rand::random())?, state.next_offset)
    };
    write_snapshot(&context.log, &context.streams.snapshots, &parts).await?;
    let record = RecordBody::Snapshot(SnapshotRecord { covers });
    let settle = context.settings.timing.settle_timeout;
    context.writer.append(record, settle).await;
    Ok(covers)
}
