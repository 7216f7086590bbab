//! Writes snapshots long before the log's retention ends.

use std::time::Duration;

use eyre::Report;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::journal::record::{RecordBody, SnapshotRecord};
use crate::journal::snapshot::{split_state, write_snapshot};

/// Subject of the hint on who writes snapshots.
const SNAPSHOT_SUBJECT: &str = "snapshot";
/// Time between two checks whether one is due, in ms.
const CHECK_INTERVAL_MS: u64 = 500;

/// Writes snapshots for ever.
pub async fn run_snapshotter(context: SharedContext) {
    let mut ticks = interval(Duration::from_millis(CHECK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let live = context.live_hosts();
        if context.is_current() && context.owns(SNAPSHOT_SUBJECT, &live) && is_due(&context) {
            match write_one(&context).await {
                Ok(covers) => log::info!("snapshot: written, covers all before {covers}."),
                Err(error) => log::warn!("snapshot: not written: {error}."),
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
    // Also without news: the last snapshot itself expires.
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
