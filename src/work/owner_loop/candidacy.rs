//! Candidacy of this host for the pool: watches the owner, asks it when it falls silent, and claims
//! the pool if it gives no proof that it is at work.

use std::rc::Rc;
use std::time::Duration;

use crate::work::clock::steady_ms;
use crate::work::model::stream::StreamName;
use crate::work::owner_loop::OwnerLoop;
use crate::work::owner_loop::claim::claim;
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::state::context::HostContext;
use crate::work::state::election::ElectionStep;
use crate::work::state::inquiry::INQUIRY_TIMEOUT_MS;

/// The parent module's path; operators filter log lines by it.
const LOG_TARGET: &str = "hemlockramp::work::owner_loop";
/// Interval at which a host checks whether it should claim the pool.
const ELECTION_POLL_MS: u64 = 50;
/// Delay after a failed claim of the pool.
const CLAIM_RETRY_MS: u64 = 150;

/// Claims the pool whenever it needs an owner, and runs the owner's loop after a successful
/// claim. Never returns.
pub async fn run_owner_loop<S: StorePort, O: OrderPort, R: RecordReader>(
    context: Rc<HostContext<S, O, R>>,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(ELECTION_POLL_MS)).await;
        match next_step(&context) {
            ElectionStep::Wait => {}
            ElectionStep::AskOwner => {
                let asked_ms = steady_ms();
                context.election.borrow_mut().record_inquiry(asked_ms);
                tokio::task::spawn_local(ask_owner(Rc::clone(&context), asked_ms));
            }
            ElectionStep::Claim => {
                log_claim(&context);
                claim_and_own(&context).await;
            }
        }
    }
}

async fn claim_and_own<S: StorePort, O: OrderPort, R: RecordReader>(
    context: &Rc<HostContext<S, O, R>>,
) {
    match claim(context).await {
        Ok(claimed) => {
            OwnerLoop::new(context, claimed).run().await;
            context.term_status.end();
        }
        Err(error) => {
            context.term_status.end();
            log::info!(
                target: LOG_TARGET, "owner: claiming the pool failed, retrying later: {error}."
            );
            tokio::time::sleep(Duration::from_millis(CLAIM_RETRY_MS)).await;
        }
    }
}

/// Returns what this host should do about the pool now.
fn next_step<S: StorePort, O, R>(context: &HostContext<S, O, R>) -> ElectionStep {
    let now_ms = steady_ms();
    let mut election = context.election.borrow_mut();
    election.record_poll(now_ms);
    if !context.is_ready() {
        return ElectionStep::Wait;
    }
    election.record_ready(now_ms);
    let allowance_ms = context.store.health(StreamName::Jobs).allowance_ms();
    let lease_ms = context.identity.timing.lease_ms;
    let jobs_view = context.jobs_view.borrow();
    election.next_step(jobs_view.owner.as_ref(), now_ms, allowance_ms, lease_ms)
}

fn log_claim<S: StorePort, O, R>(context: &HostContext<S, O, R>) {
    let evidence = context.election.borrow().evidence(steady_ms());
    let allowance_ms = context.store.health(StreamName::Jobs).allowance_ms();
    let jobs_view = context.jobs_view.borrow();
    let owner = jobs_view.owner.as_ref();
    log::info!(
        target: LOG_TARGET,
        owner = owner.map_or("", |row| row.record.host.as_str()),
        term = owner.map_or(0, |row| row.record.term),
        released = owner.is_some_and(|row| row.record.released),
        silence_ms = evidence.silence_ms, heartbeat_age_ms:? = evidence.heartbeat_age_ms,
        answer_age_ms:? = evidence.answer_age_ms, inquiry:? = evidence.inquiry, allowance_ms;
        "owner: this host claims the pool."
    );
}

/// Asks the silent owner whether it is at work.
async fn ask_owner<S: StorePort, O, R>(context: Rc<HostContext<S, O, R>>, asked_ms: u64) {
    let at_work = is_owner_at_work(&context).await;
    metrics::counter!("hemlockramp_owner_inquiries_total", "at_work" => at_work.to_string())
        .increment(1);
    let mut election = context.election.borrow_mut();
    election.record_inquiry_outcome(asked_ms, steady_ms(), at_work);
}

async fn is_owner_at_work<S: StorePort, O, R>(context: &HostContext<S, O, R>) -> bool {
    let address = context.owner_address();
    let link = address.and_then(|address| context.peers.open_link_to(address));
    let (Some(term), Some(link)) = (owner_term(context), link) else {
        return false;
    };
    let limit = Duration::from_millis(INQUIRY_TIMEOUT_MS);
    let report = link.ask_term(limit).await;
    let timing = context.identity.timing;
    let at_work = report
        .is_some_and(|report| report.proves(term, timing.ownership_timeout_ms, timing.lease_ms));
    log::debug!(
        target: LOG_TARGET, term, report:? = report, at_work;
        "owner: a silent owner was asked whether it is at work."
    );
    at_work
}

/// Returns the term of the owner in the stream of jobs.
fn owner_term<S, O, R>(context: &HostContext<S, O, R>) -> Option<u64> {
    let jobs_view = context.jobs_view.borrow();
    let owner = jobs_view.owner.as_ref();
    owner.map(|row| row.record.term)
}
