//! Interface to the append-only log that stores the journal, and its HTTP client.

use std::future::Future;
use std::time::Duration;

use crate::journal::fold::JournalEntry;
use crate::routing::verdict::CallFailure;
use crate::tables::name::ObjectName;
use crate::wire::http::HttpClient;
use crate::wire::log::{AppendRequest, AppendResponse, LogRecord, ReadResponse};

/// Time allowed for a read's response beyond its long poll, in ms.
const READ_TIMEOUT_MARGIN_MS: u64 = 2_000;

/// The range of records to read and how long to wait for new ones.
#[derive(Clone, Copy, Debug)]
pub struct ReadRange {
    /// Offset of the first record to read.
    pub from: u64,
    /// Maximum number of records to return.
    pub max: usize,
    /// Duration of the long poll when there are no records yet, in ms; 0 returns at once.
    pub wait_ms: u64,
}

/// An append-only log whose records are numbered by offset.
pub trait LogStore: Clone + Send + Sync + 'static {
    /// Appends records atomically and in order; returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// The failure says whether the records may have been appended all the same.
    fn append(
        &self,
        stream: &ObjectName,
        records: Vec<String>,
    ) -> impl Future<Output = Result<u64, CallFailure>> + Send;

    /// Reads records starting at an offset, or at the first retained one if that is later.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer in time or answers with an error.
    fn read(
        &self,
        stream: &ObjectName,
        range: ReadRange,
    ) -> impl Future<Output = Result<ReadResponse, CallFailure>> + Send;
}

/// HTTP client for the platform's log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    base_url: String,
    append_timeout: Duration,
}

impl HttpLog {
    /// Creates a client for the log at `address` (`IP:port`).
    pub fn new(client: HttpClient, address: &str, append_timeout: Duration) -> Self {
        Self {
            client,
            base_url: format!("http://{address}/streams"),
            append_timeout,
        }
    }
}

impl LogStore for HttpLog {
    async fn append(&self, stream: &ObjectName, records: Vec<String>) -> Result<u64, CallFailure> {
        let url = format!("{}/{stream}/append", self.base_url);
        let request = AppendRequest { records };
        let response: AppendResponse = self
            .client
            .post(&url, &request, self.append_timeout)
            .await?;
        Ok(response.first)
    }

    async fn read(
        &self,
        stream: &ObjectName,
        range: ReadRange,
    ) -> Result<ReadResponse, CallFailure> {
        let url = format!(
            "{}/{stream}/records?from={}&max={}&wait_ms={}",
            self.base_url, range.from, range.max, range.wait_ms
        );
        let timeout = Duration::from_millis(range.wait_ms + READ_TIMEOUT_MARGIN_MS);
        self.client.get(&url, timeout).await
    }
}

impl From<&LogRecord> for JournalEntry {
    fn from(record: &LogRecord) -> Self {
        Self {
            offset: record.offset,
            at_ms: record.at_ms,
            record: serde_json::from_str(&record.text).ok(),
        }
    }
}
