//! Admission by team: a limit of requests in flight, and a bounded queue before it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::routing::verdict::CallFailure;
use crate::tables::name::ObjectName;
use crate::wire::peer::TeamLimit;

/// Retry time told to callers of a full queue, in ms.
const QUEUE_FULL_RETRY_MS: u64 = 1_000;

/// One team's lane.
struct TeamQueue {
    team: ObjectName,
    limit: usize,
    in_flight: usize,
    urgent: VecDeque<oneshot::Sender<()>>,
    normal: VecDeque<oneshot::Sender<()>>,
}

/// All teams' lanes, sorted by name. Cloning shares them.
#[derive(Clone, Default)]
pub struct AdmissionTable {
    queues: Arc<Mutex<Vec<TeamQueue>>>,
    queue_max: usize,
}

/// What a request needs to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The team.
    pub team: ObjectName,
    /// Whether it goes before the team's other requests.
    pub urgent: bool,
    /// When it is of no more use.
    pub deadline: Instant,
}

/// An admitted request; dropping it admits the next.
pub struct AdmissionPermit {
    table: AdmissionTable,
    team: ObjectName,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.table.release(&self.team);
    }
}

impl AdmissionTable {
    /// Creates a table whose lanes queue up to `queue_max` requests each.
    pub fn new(queue_max: usize) -> Self {
        Self {
            queues: Arc::default(),
            queue_max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TeamQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the teams' limits; teams that are gone keep their lane until it is empty.
    pub fn refresh(&self, limits: &[TeamLimit]) {
        let mut queues = self.lock();
        for limit in limits {
            let max_in_flight = limit.max_in_flight as usize;
            match queues.binary_search_by(|queue| queue.team.cmp(&limit.team)) {
                Ok(index) => queues[index].limit = max_in_flight,
                Err(index) => {
                    queues.insert(index, TeamQueue::new(limit.team.clone(), max_in_flight))
                }
            }
        }
        let listed = |queue: &TeamQueue| limits.iter().any(|limit| limit.team == queue.team);
        queues.retain(|queue| listed(queue) || queue.in_flight > 0);
        queues.iter_mut().for_each(TeamQueue::admit_waiting);
    }

    /// Returns whether a team has a lane.
    pub fn has_team(&self, team: &ObjectName) -> bool {
        let queues = self.lock();
        queues
            .binary_search_by(|queue| queue.team.cmp(team))
            .is_ok()
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// "Not run": unknown team, a full queue, or the deadline passed.
    pub async fn admit(&self, request: &AdmissionRequest) -> Result<AdmissionPermit, CallFailure> {
        let Some(receiver) = self.admit_or_queue(request)? else {
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

    fn permit(&self, team: &ObjectName) -> AdmissionPermit {
        AdmissionPermit {
            table: self.clone(),
            team: team.clone(),
        }
    }

    /// Admits at once, or queues.
    fn admit_or_queue(
        &self,
        request: &AdmissionRequest,
    ) -> Result<Option<oneshot::Receiver<()>>, CallFailure> {
        let mut queues = self.lock();
        let found = queues.binary_search_by(|queue| queue.team.cmp(&request.team));
        let Ok(index) = found else {
            let reason = format!("team {} is not known", request.team);
            return Err(CallFailure::not_run(404, reason));
        };
        let queue = &mut queues[index];
        if queue.in_flight < queue.limit {
            queue.in_flight += 1;
            return Ok(None);
        }
        queue.remove_cancelled();
        if queue.urgent.len() + queue.normal.len() >= self.queue_max {
            let reason = format!("team {} has too many requests waiting", request.team);
            return Err(CallFailure::not_run(429, reason).retry_after(QUEUE_FULL_RETRY_MS));
        }
        let (sender, receiver) = oneshot::channel();
        match request.urgent {
            true => queue.urgent.push_back(sender),
            false => queue.normal.push_back(sender),
        }
        Ok(Some(receiver))
    }

    fn release(&self, team: &ObjectName) {
        let mut queues = self.lock();
        if let Ok(index) = queues.binary_search_by(|queue| queue.team.cmp(team)) {
            queues[index].in_flight = queues[index].in_flight.saturating_sub(1);
            queues[index].admit_waiting();
        }
    }
}

impl TeamQueue {
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
    fn admit_waiting(&mut self) {
        while self.in_flight < self.limit {
            let next = self.urgent.pop_front().or_else(|| self.normal.pop_front());
            let Some(waiter) = next else { return };
            // A waiter whose deadline passed has gone.
            if waiter.send(()).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    fn remove_cancelled(&mut self) {
        self.urgent.retain(|waiter| !waiter.is_closed());
        self.normal.retain(|waiter| !waiter.is_closed());
    }
}
