//! State and store access that all tasks of one host share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, Semaphore};

use crate::tables::name::ObjectName;
use crate::work::clock::{host_time, steady_ms};
use crate::work::model::evacuation::{EvacuationRequest, EvacuationTable};
use crate::work::model::stream::{
    KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord,
};
use crate::work::owner::{OwnerTiming, PoolOwner};
use crate::work::peers::links::PeerSet;
use crate::work::peers::relay::RelayStore;
use crate::work::ports::{RecordReader, StorePort};
use crate::work::state::active_config::ActiveConfig;
use crate::work::state::election::ElectionTimer;
use crate::work::state::jobs_view::{JobsView, ViewChange};
use crate::work::state::term_status::TermStatus;
use crate::work::store::follow::{apply_in_parts, list_newest};
use crate::work::store::group_commit::GroupCommitQueue;
use crate::work::store::limits::StoreLimits;
use crate::work::store::timing::STORE_TIMEOUT_MS;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::host_parts";

/// A host's identity, from its settings.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    pub name: ObjectName,
    /// Order in which hosts claim the pool: 0 first, 1 last.
    pub rank: f64,
    /// Whether the host is large enough to be preferred as the pool's owner.
    pub large: bool,
    /// Time limits of the owner.
    pub timing: OwnerTiming,
    /// Sizes that the store accepts.
    pub limits: StoreLimits,
    /// Memory for the records of accepted jobs that are not over, in bytes.
    pub job_memory_bytes: u64,
    /// Time for which the state of a job that is over is kept, in ms.
    pub retention_ms: u64,
    /// Largest number of calls to the store that callers cause at a time, and the same for peers.
    pub store_calls_max: usize,
}

/// State that all tasks of one host share.
pub struct HostContext<S, O, R> {
    pub identity: HostIdentity,
    /// The store, with peers as a fallback.
    pub store: RelayStore<S>,
    /// Client that sends orders to upstreams.
    pub orders: O,
    /// Decoder of the records that operators and upstreams write.
    pub reader: R,
    pub peers: Rc<PeerSet>,
    /// State of the jobs stream as far as it has been read.
    pub jobs_view: RefCell<JobsView>,
    /// Offset in the jobs stream from which to read on.
    pub next_jobs_offset: Cell<u64>,
    /// When the last read up to the end of the jobs stream began, steady ms.
    pub jobs_asked_ms: Cell<u64>,
    /// Places for the calls to the store that callers cause. Each may open a connection.
    pub caller_places: Semaphore,
    /// Places for the calls to the store that are forwarded for peers.
    pub peer_places: Semaphore,
    /// Whether a complete listing of the jobs stream has been read.
    pub jobs_listed: Cell<bool>,
    /// The configuration in force, with its age.
    pub active_config: ActiveConfig,
    /// The operators' evacuations as far as they have been read.
    pub evacuations: RefCell<EvacuationTable>,
    /// Wakes the task that reads a configuration that other hosts have and this one lacks.
    pub config_wake: Notify,
    /// Failure detector of the pool's owner, which decides when this host claims the pool.
    pub election: RefCell<ElectionTimer>,
    /// The pool's state while this host owns it.
    pub owner: RefCell<Option<PoolOwner>>,
    /// This host's term as the pool's owner, for peers that ask.
    pub term_status: TermStatus,
    /// Records that wait for the owner's next append.
    pub group_commit: GroupCommitQueue,
    /// Wakes the owner's loop.
    pub owner_wake: Notify,
    /// Whether the host is shutting down.
    pub draining: Cell<bool>,
}

impl<S: StorePort, O, R> HostContext<S, O, R> {
    /// Creates the state of a host that has read nothing from the store yet.
    pub fn new(identity: HostIdentity, store: S, orders: O, reader: R, peers: Rc<PeerSet>) -> Self {
        let election = ElectionTimer::new(identity.name.clone(), identity.rank);
        let places = || Semaphore::new(identity.store_calls_max);
        Self {
            jobs_asked_ms: Cell::new(0),
            caller_places: places(),
            peer_places: places(),
            identity,
            store: RelayStore::new(store, Rc::clone(&peers)),
            orders,
            reader,
            peers,
            jobs_view: RefCell::default(),
            next_jobs_offset: Cell::new(0),
            jobs_listed: Cell::new(false),
            active_config: ActiveConfig::default(),
            evacuations: RefCell::default(),
            config_wake: Notify::new(),
            election: RefCell::new(election),
            owner: RefCell::new(None),
            term_status: TermStatus::default(),
            group_commit: GroupCommitQueue::default(),
            owner_wake: Notify::new(),
            draining: Cell::new(false),
        }
    }

    /// Returns whether this host owns the pool.
    pub fn is_owner(&self) -> bool {
        self.owner.borrow().is_some()
    }

    /// Returns whether this host accepts callers' requests.
    pub fn is_ready(&self) -> bool {
        self.jobs_listed.get() && self.active_config.current().is_some() && !self.draining.get()
    }

    /// Calls the store with the timeout `STORE_TIMEOUT_MS`.
    ///
    /// # Errors
    ///
    /// Returns the combined failure of the paths that were tried.
    pub async fn call_store(&self, call: &StoreCall) -> Result<StoreReply, StoreFailure> {
        let limit = Duration::from_millis(STORE_TIMEOUT_MS);
        self.store.call(call, limit).await
    }

    /// Stores a record through the owner's group commit, or else by an append from this host.
    ///
    /// # Errors
    ///
    /// Returns the failure that leaves the outcome less certain.
    pub async fn store_record(&self, entry: &KeyedValue) -> Result<(), StoreFailure> {
        let before = match self.record_with_owner(entry).await {
            Ok(()) => return Ok(()),
            Err(failure) => failure,
        };
        log::info!(
            target: LOG_TARGET, key = entry.key.as_str(), failure:% = before;
            "store: the owner's group commit did not confirm a record; this host appends it."
        );
        let Ok(_place) = self.caller_places.try_acquire() else {
            let busy = StoreFailure::NotDone("too many calls wait for the store".to_owned());
            return Err(before.less_certain(busy));
        };
        let call = StoreCall::append_record(entry.clone());
        match self.call_store(&call).await {
            Ok(_) => Ok(()),
            Err(failure) => Err(before.less_certain(failure)),
        }
    }

    async fn record_with_owner(&self, entry: &KeyedValue) -> Result<(), StoreFailure> {
        if self.is_owner() {
            return self.group_commit.record(entry.clone()).await;
        }
        let unknown = || StoreFailure::NotDone("no owner is known".to_owned());
        let link = self.owner_address().and_then(|at| self.peers.link_to(at));
        let link = link.ok_or_else(unknown)?;
        let result = link.record(entry).await;
        if result.is_err() {
            self.peers.mark_failed(&link);
        }
        result
    }

    /// Returns the address at which the pool's owner serves its peers, if known.
    pub fn owner_address(&self) -> Option<SocketAddr> {
        let jobs_view = self.jobs_view.borrow();
        let owner = &jobs_view.owner.as_ref()?.record.host;
        let host = jobs_view.hosts.iter().find(|host| host.name == *owner)?;
        Some(host.record.address)
    }

    /// Applies records of the jobs stream to this host's view of it, the owner's state, the
    /// failure detector and the set of peers.
    pub fn apply_jobs(&self, records: &[StreamRecord]) {
        self.jobs_view.borrow_mut().set_time(steady_ms());
        let mut hosts_changed = false;
        for record in records {
            let change = self.jobs_view.borrow_mut().apply(record);
            match change {
                ViewChange::Job(id) => self.notify_owner(&id),
                ViewChange::Owner => self
                    .election
                    .borrow_mut()
                    .record_owner_heartbeat(steady_ms()),
                ViewChange::Host => hosts_changed = true,
                ViewChange::Other => {}
            }
        }
        self.jobs_view.borrow_mut().forget_removed();
        let version = self.jobs_view.borrow().config_version;
        if self.active_config.learn_version(version, steady_ms()) {
            self.config_wake.notify_one();
        }
        if hosts_changed {
            self.update_peers();
        }
    }

    fn notify_owner(&self, id: &ObjectName) {
        let mut owner = self.owner.borrow_mut();
        let Some(owner) = owner.as_mut() else { return };
        let jobs_view = self.jobs_view.borrow();
        let Some(job) = jobs_view.job(id) else { return };
        owner.set_time(host_time());
        if let Some(record) = &job.record
            && !job.phase.is_over()
        {
            owner.add_job(id, Rc::clone(record), job.phase, &[]);
        }
        if job.cancelled {
            owner.cancel(id);
        }
        self.owner_wake.notify_one();
    }

    fn update_peers(&self) {
        for host in &self.jobs_view.borrow().hosts {
            if host.name == self.identity.name {
                continue;
            }
            match host.record.gone {
                true => self.peers.remove(host.record.address),
                false => self.peers.add(host.record.address),
            }
        }
    }

    /// Reads the jobs stream up to its current end.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or the stream has not been listed yet.
    pub async fn refresh_jobs(&self) -> Result<(), StoreFailure> {
        if !self.jobs_listed.get() {
            return Err(StoreFailure::NotDone("not listed yet".to_owned()));
        }
        let asked_ms = steady_ms();
        self.read_jobs_to_end().await?;
        self.jobs_asked_ms
            .set(self.jobs_asked_ms.get().max(asked_ms));
        Ok(())
    }

    async fn read_jobs_to_end(&self) -> Result<(), StoreFailure> {
        loop {
            let call = StoreCall::Read {
                stream: StreamName::Jobs,
                from: self.next_jobs_offset.get(),
                wait_ms: 0,
            };
            let reply = self.call_store(&call).await?;
            apply_in_parts(&reply.records, |records| self.apply_jobs(records)).await;
            let Some(last) = reply.records.last() else {
                return match self.next_jobs_offset.get() >= reply.end {
                    true => Ok(()),
                    false => Err(StoreFailure::NotDone("an answer lacks records".to_owned())),
                };
            };
            self.next_jobs_offset
                .set(self.next_jobs_offset.get().max(last.offset + 1));
            if self.next_jobs_offset.get() >= reply.end {
                return Ok(());
            }
        }
    }

    /// Reads the newest configuration and the evacuations from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached.
    pub async fn refresh_config(&self) -> Result<(), StoreFailure>
    where
        R: RecordReader,
    {
        let asked_ms = steady_ms();
        let mut records = Vec::new();
        // The record may be on any page.
        let end = list_newest(&self.store, StreamName::Config, |page| {
            records.extend_from_slice(page);
        })
        .await?;
        self.apply_configs(&records);
        self.end_config_listing(&self.listed_evacuations(&records), end);
        self.active_config.mark_confirmed(asked_ms);
        Ok(())
    }

    /// Installs each configuration among the records that is newer than the one in force, and applies
    /// the evacuations.
    pub fn apply_configs(&self, records: &[StreamRecord])
    where
        R: RecordReader,
    {
        for record in records {
            if let Some(request) = self.reader.evacuation(&record.entry) {
                self.apply_evacuation(record.offset, request);
                continue;
            }
            let Some(config) = self.reader.config(&record.entry) else {
                continue;
            };
            if self.active_config.install_if_newer(config)
                && let Some(owner) = self.owner.borrow_mut().as_mut()
                && let Some(current) = self.active_config.current()
            {
                owner.set_config(current);
                self.owner_wake.notify_one();
            }
        }
    }

    /// Returns the failure domains for which the records of a listing hold requests.
    pub fn listed_evacuations(&self, records: &[StreamRecord]) -> Vec<ObjectName>
    where
        R: RecordReader,
    {
        let requests = records
            .iter()
            .filter_map(|record| self.reader.evacuation(&record.entry));
        requests.map(|request| request.domain).collect()
    }

    /// Takes back the failure domains for which a complete listing of the configuration's stream, with
    /// its end at `end`, holds no requests.
    pub fn end_config_listing(&self, listed: &[ObjectName], end: u64) {
        if self.evacuations.borrow_mut().end_listing(listed, end) {
            log::info!("host: evacuations that are no longer listed are taken back.");
            self.publish_evacuations();
        }
    }

    fn apply_evacuation(&self, offset: u64, request: EvacuationRequest) {
        let (domain, evacuated) = (request.domain.clone(), request.evacuated);
        if self.evacuations.borrow_mut().apply(offset, request) {
            log::info!(
                domain = domain.as_str(), evacuated, offset;
                "host: the evacuation of a failure domain has changed."
            );
            self.publish_evacuations();
        }
    }

    /// Passes the evacuated domains to the metrics and, on the pool's owner, to the gate of starts.
    fn publish_evacuations(&self) {
        let evacuated = self.evacuations.borrow().evacuated();
        metrics::gauge!("hemlockramp_evacuated_domains").set(evacuated.len() as f64);
        if let Some(owner) = self.owner.borrow_mut().as_mut() {
            owner.set_evacuated(evacuated);
            self.owner_wake.notify_one();
        }
    }
}
