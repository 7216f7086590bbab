//! Sets up logging and metrics of a process and waits for termination signals.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::Instant;

use env_logger::fmt::Formatter;
use env_logger::{Builder, Env, Target};
use eyre::{Report, eyre};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::signal::unix::{SignalKind, signal};

use crate::daemons::line_budget::LineBudget;
use crate::daemons::log_line::write_json_line;
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
    let budget = Arc::new(LineBudget::new(Instant::now()));
    let writer = LogWriter::open(Arc::clone(&budget));
    bounded_builder(budget, writer).init();
}

/// Creates a logger of JSON lines that formats no more lines than the budget allows.
pub fn bounded_builder(budget: Arc<LineBudget>, writer: impl Write + Send + 'static) -> Builder {
    let mut builder = log_builder();
    builder.format(
        move |output, record| match budget.try_acquire(Instant::now()) {
            true => write_json(output, record),
            false => Ok(()),
        },
    );
    builder.target(Target::Pipe(Box::new(writer)));
    builder
}

fn log_builder() -> Builder {
    let environment = Env::new().filter_or(LOG_FILTER_VARIABLE, "info");
    let mut builder = Builder::from_env(environment);
    builder.filter_module("dropshot", log::LevelFilter::Off);
    builder
}

fn write_json(output: &mut Formatter, record: &log::Record) -> io::Result<()> {
    let time = output.timestamp_millis();
    write_json_line(output, time, record)
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
