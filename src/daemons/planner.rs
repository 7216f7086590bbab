//! Runs the planning systems on the host that the live ones agree on, as a hint.

use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::journal::record::RecordBody;
use crate::systems::plan::plan;

/// Subject of the hint on who plans.
const PLAN_SUBJECT: &str = "plan";

/// Plans for ever.
pub async fn run_planner(context: SharedContext) {
    let mut ticks = interval(context.settings.timing.tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let live = context.live_hosts();
        let may_append = context.is_current() && context.hosts.roster().is_some();
        if may_append && context.owns(PLAN_SUBJECT, &live) {
            plan_once(&context).await;
        }
    }
}

async fn plan_once(context: &SharedContext) {
    let started = Instant::now();
    let records = {
        let now_ms = context.view.log_now_ms();
        let state = context.view.state();
        plan(&state, now_ms, &context.settings.raw.policy).records
    };
    metrics::histogram!("hemlockramp_plan_seconds").record(started.elapsed().as_secs_f64());
    if !records.is_empty() {
        append_and_settle(context, records).await;
    }
}

/// Appends records and waits until the fold has settled all, so that none is planned twice.
pub async fn append_and_settle(context: &SharedContext, records: Vec<RecordBody>) {
    let mut receivers = Vec::new();
    for record in records {
        match context.writer.enqueue(record) {
            Ok(receiver) => receivers.push(receiver),
            Err(reason) => log::warn!("plan: a record waits for the next round: {reason}."),
        }
    }
    let limit: Duration = context.settings.timing.settle_timeout;
    let until = Instant::now() + limit;
    for receiver in receivers {
        // What is not settled in time is planned again; the fold refuses the loser.
        let _ = tokio::time::timeout_at(until, receiver).await;
    }
}
