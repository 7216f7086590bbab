//! Sets up logging and metrics of a process and waits for termination signals.

use std::io::{self, Write};

use env_logger::fmt::Formatter;
use env_logger::{Builder, Env, Target};
use eyre::{Report, eyre};
use log::kv::{Key, Value, VisitSource};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::signal::unix::{SignalKind, signal};

use crate::daemons::log_writer::LogWriter;

/// Environment variable with the log filter, for example `HEMLOCKRAMP_LOG=info`.
const LOG_FILTER_VARIABLE: &str = "HEMLOCKRAMP_LOG";

/// Sets up logging to stderr, as text or as JSON lines.
pub fn start_logs(json: bool) {
    let mut builder = log_builder();
    if json {
        builder.format(write_json);
    } else {
        builder.format_timestamp_millis();
    }
    builder.init();
}

/// Sets up logging to standard output as JSON lines, rate-limited and non-blocking.
pub fn start_bounded_logs() {
    let mut builder = log_builder();
    builder.format(write_json);
    builder.target(Target::Pipe(Box::new(LogWriter::open())));
    builder.init();
}

fn log_builder() -> Builder {
    let environment = Env::new().filter_or(LOG_FILTER_VARIABLE, "info");
    let mut builder = Builder::from_env(environment);
    builder.filter_module("dropshot", log::LevelFilter::Off);
    builder
}

fn write_json(output: &mut Formatter, record: &log::Record) -> io::Result<()> {
    let mut fields = JsonFields::default();
    // Fields that cannot be visited are left out of the line.
    let _ = record.key_values().visit(&mut fields);
    let line = serde_json::json!({
        "time": output.timestamp_millis().to_string(),
        "level": record.level().as_str(),
        "part": record.target(),
        "message": record.args().to_string(),
        "fields": fields.map,
    });
    writeln!(output, "{line}")
}

#[derive(Default)]
struct JsonFields {
    map: serde_json::Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.map.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}

/// Installs the global metrics recorder; the handle renders it as Prometheus text.
///
/// # Errors
///
/// Returns an error if this process already has a recorder.
pub fn start_metrics() -> Result<PrometheusHandle, Report> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| eyre!("metrics recorder cannot be installed: {error}"))
}

/// Waits for the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_signal() -> Result<(), Report> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
