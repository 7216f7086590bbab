//! The owner's reader of the stream of upstream reports.

use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::clock::host_time;
use crate::work::model::stream::StreamRecord;
use crate::work::owner_loop::OwnerLoop;
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::store::follow::{FollowReply, StreamSink};

/// The parent module's path; operators filter log lines by it.
const LOG_TARGET: &str = "hemlockramp::work::owner_loop";
/// Delay between two reads of the upstreams' reports.
const REPORTS_PAUSE_MS: u64 = 400;

/// Applies the stream of upstream reports to the owner's state.
pub(super) struct ReportSink<S, O, R> {
    pub(super) owner_loop: OwnerLoop<S, O, R>,
    /// Upstreams seen in the current listing; none outside a listing.
    pub(super) listing: Option<Vec<ObjectName>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> ReportSink<S, O, R> {
    fn apply_report(&mut self, record: &StreamRecord) {
        let context = Rc::clone(&self.owner_loop.context);
        if record.entry.value.is_empty() {
            if let Ok(name) = ObjectName::try_from(record.entry.key.as_str()) {
                self.owner_loop
                    .update_owner(|owner| owner.on_unlisted(&name));
            }
            return;
        }
        let Some(report) = context.reader.upstream(&record.entry) else {
            log::debug!(
                target: LOG_TARGET,
                key = record.entry.key.as_str();
                "owner: ignoring an upstream report that cannot be used."
            );
            return;
        };
        if let Some(listing) = &mut self.listing {
            listing.push(report.name.clone());
        }
        let (name, address, born) = (report.name.clone(), report.address, report.incarnation);
        let newly_listed = self.owner_loop.with_owner(|owner| {
            owner.set_time(host_time());
            owner.on_report(report)
        });
        if newly_listed == Some(true) {
            log::info!(
                target: LOG_TARGET, upstream = name.as_str(), address:% = address, born;
                "owner: an upstream is listed."
            );
        }
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> StreamSink for ReportSink<S, O, R> {
    fn begin_listing(&mut self) {
        self.listing = Some(Vec::new());
    }

    fn apply(&mut self, records: &[StreamRecord]) {
        for record in records {
            self.apply_report(record);
        }
    }

    fn end_listing(&mut self) {
        let mut listed_names = self.listing.take().unwrap_or_default();
        listed_names.sort_unstable();
        self.owner_loop.update_owner(|owner| {
            for name in owner.listed() {
                if listed_names.binary_search(&name).is_err() {
                    owner.on_unlisted(&name);
                }
            }
        });
    }

    fn on_reply(&mut self, _reply: FollowReply) {}

    fn pause_ms(&self) -> u64 {
        REPORTS_PAUSE_MS
    }

    fn is_closed(&self) -> bool {
        self.owner_loop.ended.get()
    }
}
