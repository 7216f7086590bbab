//! Seams to the platform: what the decisions need from it.

use std::future::Future;
use std::time::Duration;

use crate::work::config::WorkConfig;
use crate::work::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply};
use crate::work::upstream::{
    OrderFailure, RenewOrder, RenewReply, StartOrder, StartOutcome, StopOrder, UpstreamReport,
};

/// The platform's store.
pub trait StorePort: Clone + 'static {
    /// Calls the store; `limit` comes on top of the call's own wait.
    fn call(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> impl Future<Output = Result<StoreReply, StoreFailure>>;
}

/// Orders to upstreams.
pub trait OrderPort: Clone + 'static {
    /// Starts a run.
    fn start(&self, order: &StartOrder) -> impl Future<Output = StartOutcome>;

    /// Stops a run; returns the upstream's clock, in ms.
    fn stop(&self, order: &StopOrder) -> impl Future<Output = Result<u64, OrderFailure>>;

    /// Renews the lease and asks what runs.
    fn renew(&self, order: &RenewOrder) -> impl Future<Output = Result<RenewReply, OrderFailure>>;
}

/// Reads what operators and upstreams write to the store.
pub trait RecordReader: Clone + 'static {
    /// Reads a configuration; none if the record is something else.
    fn config(&self, entry: &KeyedValue) -> Option<WorkConfig>;

    /// Reads an upstream's report; none if the record cannot be used.
    fn upstream(&self, entry: &KeyedValue) -> Option<UpstreamReport>;
}
