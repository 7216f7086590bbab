//! Parses and runs the command line shared by the gateway and scheduler daemons.

use std::ffi::OsString;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::{Report, bail, eyre};
use lexopt::prelude::{Long, Short, Value};
use metrics_exporter_prometheus::PrometheusHandle;
use schemars::JsonSchema;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::daemons::observe::{start_logs, start_metrics, wait_for_signal};
use crate::settings::load::load_settings;

/// Exit code for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for any other failure.
pub const EXIT_FAILURE: u8 = 1;

/// Subcommand; without one, the daemon runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum DaemonMode {
    #[default]
    Run,
    PrintConfig,
    CheckSettings,
    PrintSchema,
}

/// Parsed command line of a daemon.
#[derive(Clone, Debug, Default)]
struct DaemonArgs {
    mode: DaemonMode,
    settings: Option<PathBuf>,
    json_logs: bool,
    /// Whether `--help` or `--version` was printed, so that nothing is left to do.
    done: bool,
}

/// A daemon that [`run_program`] can configure, start and stop.
pub trait DaemonProgram {
    /// Settings as deserialized from the file, before validation.
    type Raw: DeserializeOwned + Serialize + JsonSchema + Clone;
    /// Validated settings.
    type Checked: TryFrom<Self::Raw, Error = Report>;
    /// Handle of the running daemon.
    type Daemon;

    /// Program name in help, version and error output.
    const NAME: &'static str;

    /// Returns the settings in the layout of the file, with all defaults filled in.
    fn raw(settings: &Self::Checked) -> Self::Raw;

    /// Starts the daemon, which serves `metrics` over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address cannot be bound.
    fn start(
        settings: Self::Checked,
        metrics: PrometheusHandle,
    ) -> impl Future<Output = Result<Self::Daemon, Report>>;

    /// Shuts the daemon down gracefully.
    fn close(daemon: Self::Daemon) -> impl Future<Output = ()>;
}

/// Parses `arguments`, runs the daemon or subcommand and returns the exit code.
///
/// Errors are printed to stderr. A running daemon returns after SIGTERM or SIGINT.
pub fn run_program<P: DaemonProgram>(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args = match parse_args::<P>(arguments) {
        Ok(args) if args.done => return ExitCode::SUCCESS,
        Ok(args) => args,
        Err(error) => return fail::<P>(&error, EXIT_USAGE),
    };
    if args.mode == DaemonMode::PrintSchema {
        println!("{}", schema_text::<P::Raw>());
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        return fail::<P>(&eyre!("no settings file given; see --help"), EXIT_USAGE);
    };
    let settings = match load_settings::<P::Raw, P::Checked>(path) {
        Ok(settings) => settings,
        Err(error) => return fail::<P>(&error, EXIT_USAGE),
    };
    match args.mode {
        DaemonMode::PrintConfig => {
            let raw = serde_json::to_string_pretty(&P::raw(&settings));
            println!("{}", raw.unwrap_or_default());
            ExitCode::SUCCESS
        }
        DaemonMode::CheckSettings => {
            println!("{}: good", path.display());
            ExitCode::SUCCESS
        }
        _ => run_daemon::<P>(settings, args.json_logs),
    }
}

/// Returns the JSON schema of a settings type, as committed under `docs/schema`.
pub fn schema_text<T: JsonSchema>() -> String {
    let schema = schemars::schema_for!(T);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

fn run_daemon<P: DaemonProgram>(settings: P::Checked, json_logs: bool) -> ExitCode {
    start_logs(json_logs);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail::<P>(&error.into(), EXIT_FAILURE),
    };
    match runtime.block_on(serve::<P>(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail::<P>(&error, EXIT_FAILURE),
    }
}

async fn serve<P: DaemonProgram>(settings: P::Checked) -> Result<(), Report> {
    let daemon = P::start(settings, start_metrics()?).await?;
    wait_for_signal().await?;
    tokio::select! {
        () = P::close(daemon) => {}
        signalled = wait_for_signal() => {
            signalled?;
            log::warn!(
                "{}: second termination signal received; graceful shutdown is cut short.",
                P::NAME
            );
        }
    }
    Ok(())
}

fn fail<P: DaemonProgram>(error: &Report, code: u8) -> ExitCode {
    eprintln!("{}: {error:#}", P::NAME);
    ExitCode::from(code)
}

fn parse_args<P: DaemonProgram>(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<DaemonArgs, Report> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut args = DaemonArgs::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                println!("{}", help_text(P::NAME));
                args.done = true;
            }
            Short('V') | Long("version") => {
                println!("{} {}", P::NAME, env!("CARGO_PKG_VERSION"));
                args.done = true;
            }
            Long("json-logs") => args.json_logs = true,
            Value(word) => take_positional(&mut args, &word)?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(args)
}

fn take_positional(args: &mut DaemonArgs, word: &OsString) -> Result<(), Report> {
    let first = args.mode == DaemonMode::Run && args.settings.is_none();
    match word.to_str() {
        Some("print-config") if first => args.mode = DaemonMode::PrintConfig,
        Some("check-settings") if first => args.mode = DaemonMode::CheckSettings,
        Some("print-schema") if first => args.mode = DaemonMode::PrintSchema,
        _ if args.settings.is_none() => args.settings = Some(PathBuf::from(word)),
        _ => bail!("unexpected argument {word:?}: only one settings file is accepted"),
    }
    Ok(())
}

fn help_text(name: &str) -> String {
    format!(
        "Usage: {name} [--json-logs] SETTINGS\n       \
         {name} print-config SETTINGS\n       \
         {name} check-settings SETTINGS\n       \
         {name} print-schema\n\n\
         SETTINGS is a JSON file; docs/SETTINGS.md lists its keys.\n\
         --json-logs   log as JSON lines\n\
         --help, --version\n\n\
         HEMLOCKRAMP_LOG sets the log filter (error, warn, info, debug).\n\
         SIGTERM or SIGINT shuts down gracefully; a second one ends at once.\n\
         Exit codes: 0 good, 1 failed, 2 wrong command line or settings."
    )
}
