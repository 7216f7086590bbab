//! The log store as the journal uses it, and its HTTP client.

use std::future::Future;
use std::time::Duration;

use crate::journal::fold::JournalEntry;
use crate::routing::verdict::CallFailure;
use crate::tables::name::ObjectName;
use crate::wire::http::HttpClient;
use crate::wire::log::{AppendRequest, AppendResponse, LogRecord, ReadResponse};

/// Time beyond the long poll in which a read must be answered, in ms.
const READ_TIMEOUT_MARGIN_MS: u64 = 2_000;

/// Where to read, and how long to wait for more.
#[derive(Clone, Copy, Debug)]
pub struct ReadRange {
    /// First offset wanted.
    pub from: u64,
    /// Most records.
    pub max: usize,
    /// Long poll, in ms.
    pub wait_ms: u64,
}

/// An append-only log with offsets.
pub trait LogStore: Clone + Send + Sync + 'static {
    /// Appends records in one piece; returns the first one's offset.
    ///
    /// The failure says whether they may stand in the log all the same.
    fn append(
        &self,
        stream: &ObjectName,
        records: Vec<String>,
    ) -> impl Future<Output = Result<u64, CallFailure>> + Send;

    /// Reads records from an offset on.
    fn read(
        &self,
        stream: &ObjectName,
        range: ReadRange,
    ) -> impl Future<Output = Result<ReadResponse, CallFailure>> + Send;
}

/// The platform's log over HTTP.
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
