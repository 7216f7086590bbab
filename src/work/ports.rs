//! Interfaces that a platform implements: its store, its upstreams and its record formats.

use std::future::Future;
use std::time::Duration;

use crate::work::model::config::WorkConfig;
use crate::work::model::evacuation::EvacuationRequest;
use crate::work::model::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply};
use crate::work::model::upstream::{
    OrderFailure, RenewOrder, RenewReply, StartOrder, StartOutcome, StopOrder, UpstreamReport,
};

/// The platform's store.
pub trait StorePort: Clone + 'static {
    /// Calls the store. `limit` is the timeout on top of the call's own wait.
    fn call(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> impl Future<Output = Result<StoreReply, StoreFailure>>;
}

/// Client that sends orders to upstreams.
pub trait OrderPort: Clone + 'static {
    /// Starts a run on an upstream.
    fn start(&self, order: &StartOrder) -> impl Future<Output = StartOutcome>;

    /// Stops a run. Returns the upstream's clock, in ms.
    fn stop(&self, order: &StopOrder) -> impl Future<Output = Result<u64, OrderFailure>>;

    /// Renews an upstream's lease. Returns what runs there and what has ended.
    fn renew(&self, order: &RenewOrder) -> impl Future<Output = Result<RenewReply, OrderFailure>>;
}

/// Decoder of the records that operators and upstreams write to the store.
pub trait RecordReader: Clone + 'static {
    /// Decodes a configuration, or returns none for any other record.
    fn config(&self, entry: &KeyedValue) -> Option<WorkConfig>;

    /// Decodes a request to evacuate a failure domain or to take it back, or returns none for any
    /// other record.
    fn evacuation(&self, entry: &KeyedValue) -> Option<EvacuationRequest>;

    /// Decodes an upstream's report, or returns none if the record cannot be used.
    fn upstream(&self, entry: &KeyedValue) -> Option<UpstreamReport>;
}
