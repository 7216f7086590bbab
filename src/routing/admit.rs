//! Admission by team: a limit of requests in flight, and a bounded queue before it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::routing::verdict::CallFailure;
use crate::tables::name::ObjectName;
use crate::wire::peer::TeamLimit;

/// Retry time told to callers of a full queue, in ms.
const FULL_RETRY_MS: u64 = 1_000;

/// One team's lane.
struct LaneRow {
    team: ObjectName,
    limit: usize,
    in_flight: usize,
    urgent: VecDeque<oneshot::Sender<()>>,
    normal: VecDeque<oneshot::Sender<()>>,
}

/// All teams' lanes, sorted by name. Cloning shares them.
#[derive(Clone, Default)]
pub struct AdmitTable {
    lanes: Arc<Mutex<Vec<LaneRow>>>,
    queue_max: usize,
}

/// What a request needs to be admitted.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// The team.
    pub team: ObjectName,
    /// Whether it goes before the team's other requests.
    pub urgent: bool,
    /// When it is of no more use.
    pub deadline: Instant,
}

/// An admitted request; dropping it admits the next.
pub struct AdmitPermit {
    table: AdmitTable,
    team: ObjectName,
}

impl Drop for AdmitPermit {
    fn drop(&mut self) {
        self.table.release(&self.team);
    }
}

impl AdmitTable {
    /// Creates a table whose lanes queue up to `queue_max` requests each.
    pub fn new(queue_max: usize) -> Self {
        Self {
            lanes: Arc::default(),
            queue_max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LaneRow>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the teams' limits; teams that are gone keep their lane until it is empty.
    pub fn refresh(&self, limits: &[TeamLimit]) {
        let mut lanes = self.lock();
        for limit in limits {
            let most = limit.max_in_flight as usize;
            match lanes.binary_search_by(|lane| lane.team.cmp(&limit.team)) {
                Ok(index) => lanes[index].limit = most,
                Err(index) => lanes.insert(index, LaneRow::new(limit.team.clone(), most)),
            }
        }
        let listed = |lane: &LaneRow| limits.iter().any(|limit| limit.team == lane.team);
        lanes.retain(|lane| listed(lane) || lane.in_flight > 0);
        lanes.iter_mut().for_each(LaneRow::wake);
    }

    /// Returns whether a team has a lane.
    pub fn knows(&self, team: &ObjectName) -> bool {
        let lanes = self.lock();
        lanes.binary_search_by(|lane| lane.team.cmp(team)).is_ok()
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// "Not run": unknown team, a full queue, or the deadline passed.
    pub async fn admit(&self, request: &AdmitRequest) -> Result<AdmitPermit, CallFailure> {
        let Some(receiver) = self.enter(request)? else {
            return Ok(self.permit(&request.team));
        };
        match tokio::time::timeout_at(request.deadline, receiver).await {
            Ok(Ok(())) => Ok(self.permit(&request.team)),
            _ => Err(CallFailure::not_run(
                504,
                "its deadline passed in the queue",
            )),
        }
    }

    fn permit(&self, team: &ObjectName) -> AdmitPermit {
        AdmitPermit {
            table: self.clone(),
            team: team.clone(),
        }
    }

    /// Admits at once, or queues.
    fn enter(&self, request: &AdmitRequest) -> Result<Option<oneshot::Receiver<()>>, CallFailure> {
        let mut lanes = self.lock();
        let found = lanes.binary_search_by(|lane| lane.team.cmp(&request.team));
        let Ok(index) = found else {
            let reason = format!("team {} is not known", request.team);
            return Err(CallFailure::not_run(404, reason));
        };
        let lane = &mut lanes[index];
        if lane.in_flight < lane.limit {
            lane.in_flight += 1;
            return Ok(None);
        }
        lane.forget_gone();
        if lane.urgent.len() + lane.normal.len() >= self.queue_max {
            let reason = format!("team {} has too many requests waiting", request.team);
            return Err(CallFailure::not_run(429, reason).retry_after(FULL_RETRY_MS));
        }
        let (sender, receiver) = oneshot::channel();
        match request.urgent {
            true => lane.urgent.push_back(sender),
            false => lane.normal.push_back(sender),
        }
        Ok(Some(receiver))
    }

    fn release(&self, team: &ObjectName) {
        let mut lanes = self.lock();
        if let Ok(index) = lanes.binary_search_by(|lane| lane.team.cmp(team)) {
            lanes[index].in_flight = lanes[index].in_flight.saturating_sub(1);
            lanes[index].wake();
        }
    }
}

impl LaneRow {
    fn new(team: ObjectName, limit: usize) -> Self {
        Self {
            team,
            limit,
            in_flight: 0,
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
        }
    }

    /// Admits waiting requests, urgent ones first, while there is room.
    fn wake(&mut self) {
        while self.in_flight < self.limit {
            let next = self.urgent.pop_front().or_else(|| self.normal.pop_front());
            let Some(waiter) = next else { return };
            // A waiter whose deadline passed has gone.
            if waiter.send(()).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    fn forget_gone(&mut self) {
        self.urgent.retain(|waiter| !waiter.is_closed());
        self.normal.retain(|waiter| !waiter.is_closed());
    }
}
