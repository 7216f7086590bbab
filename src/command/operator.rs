//! Parses and runs the command line of `hemlockramp`, the operator tool that calls a gateway.

use std::ffi::OsString;
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use eyre::{Report, bail, eyre};
use lexopt::prelude::{Long, Short, Value};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command::daemon::{EXIT_FAILURE, EXIT_USAGE};
use crate::command::render::{
    render_audit, render_explain, render_hosts, render_job, render_ticket,
};
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::settings::gateway::{GatewaySettings, RawGatewaySettings};
use crate::settings::load::load_settings;
use crate::settings::scheduler::{RawSchedulerSettings, SchedulerSettings};
use crate::tables::job::JobSpec;
use crate::tables::name::ObjectName;
use crate::tables::ticket::TicketSpec;
use crate::wire::api::ChangeView;
use crate::wire::http::HttpClient;

/// Exit code if the request failed and did not run.
const EXIT_NOT_RUN: u8 = 3;
/// Exit code if the request failed and may have run.
const EXIT_MAY_HAVE_RUN: u8 = 4;
/// Time limit of one gateway call, in ms.
const RESPONSE_TIMEOUT_MS: u64 = 15_000;
/// Gateway address if neither `--gateway` nor `HEMLOCKRAMP_GATEWAY` is set.
const DEFAULT_GATEWAY: &str = "127.0.0.1:7100";
/// Number of calls that `timings` makes to each endpoint.
const TIMINGS_CALLS: usize = 20;

const HELP: &str = "\
Usage: hemlockramp [--gateway IP:PORT] [--json] COMMAND

  ticket apply FILE       apply a change ticket (JSON)
  ticket show N           show ticket N and on which hosts it is in force
  job submit FILE         submit a job (JSON)
  job cancel ID...        cancel jobs
  job status ID           show a job
  job explain ID          show each step of a job with its cause; also: explain ID
  report                  figures by team, in the gateway's layout
  audit [--kind K] [--actor A] [--subject TEXT] [--refused] [--limit N]
                          the audit trail
  hosts                   entry hosts and workers
  print-config FILE       a settings file with all defaults filled in
  check-settings FILE     check a settings file
  timings                 how long the gateway takes to answer

  --json                  print tables as JSON
  --help, --version

HEMLOCKRAMP_GATEWAY names the gateway when --gateway does not; default 127.0.0.1:7100.
Exit codes: 0 good, 1 failed, 2 wrong command line or file, 3 not run, 4 may have run.";

/// Parsed command line.
#[derive(Clone, Debug, Default)]
struct OperatorArgs {
    gateway: Option<String>,
    json: bool,
    /// Positional arguments: the command and its operands.
    words: Vec<String>,
    audit: AuditOptions,
    /// Whether `--help` or `--version` was printed, so that nothing is left to do.
    done: bool,
}

#[derive(Clone, Debug, Default)]
struct AuditOptions {
    kind: Option<String>,
    actor: Option<String>,
    subject: Option<String>,
    refused: bool,
    limit: Option<String>,
}

/// Cause of a failed command, which determines the exit code.
enum OperatorError {
    /// Local failure, such as an invalid command line or file.
    Usage(Report),
    /// Failed gateway call; its verdict selects the exit code.
    Call(CallFailure),
}

impl From<Report> for OperatorError {
    fn from(error: Report) -> Self {
        Self::Usage(error)
    }
}

impl From<CallFailure> for OperatorError {
    fn from(failure: CallFailure) -> Self {
        Self::Call(failure)
    }
}

/// Parses `arguments`, runs the command and returns the exit code.
///
/// The result goes to stdout, errors to stderr.
pub fn run_operator(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args = match parse_args(arguments) {
        Ok(args) if args.done => return ExitCode::SUCCESS,
        Ok(args) => args,
        Err(error) => return fail(&error.into()),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_command(&args)),
        Err(error) => Err(OperatorError::Usage(error.into())),
    };
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn fail(error: &OperatorError) -> ExitCode {
    match error {
        OperatorError::Usage(error) => {
            eprintln!("hemlockramp: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
        OperatorError::Call(failure) => {
            eprintln!("hemlockramp: {failure}");
            ExitCode::from(match failure.verdict {
                RunVerdict::NotRun => EXIT_NOT_RUN,
                RunVerdict::MayHaveRun => EXIT_MAY_HAVE_RUN,
                RunVerdict::Ran => EXIT_FAILURE,
            })
        }
    }
}

fn parse_args(arguments: impl IntoIterator<Item = OsString>) -> Result<OperatorArgs, Report> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut args = OperatorArgs::default();
    let text = |value: OsString| {
        value
            .into_string()
            .map_err(|_| eyre!("argument is not valid UTF-8"))
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                println!("{HELP}");
                args.done = true;
            }
            Short('V') | Long("version") => {
                println!("hemlockramp {}", env!("CARGO_PKG_VERSION"));
                args.done = true;
            }
            Long("json") => args.json = true,
            Long("gateway") => args.gateway = Some(text(parser.value()?)?),
            Long("kind") => args.audit.kind = Some(text(parser.value()?)?),
            Long("actor") => args.audit.actor = Some(text(parser.value()?)?),
            Long("subject") => args.audit.subject = Some(text(parser.value()?)?),
            Long("limit") => args.audit.limit = Some(text(parser.value()?)?),
            Long("refused") => args.audit.refused = true,
            Value(word) => args.words.push(text(word)?),
            other => return Err(other.unexpected().into()),
        }
    }
    if args.words.is_empty() && !args.done {
        bail!("no command given; see --help");
    }
    Ok(args)
}

async fn run_command(args: &OperatorArgs) -> Result<String, OperatorError> {
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    let client = GatewayClient::new(args);
    match words.as_slice() {
        ["ticket", "apply", file] => {
            client
                .apply(read_file::<TicketSpec>(file)?, "tickets")
                .await
        }
        ["job", "submit", file] => client.apply(read_file::<JobSpec>(file)?, "jobs").await,
        ["ticket", "show", number] => {
            client
                .show(&format!("tickets/{number}"), render_ticket)
                .await
        }
        ["job", "status", id] => client.show(&format!("jobs/{id}"), render_job).await,
        ["job", "explain", id] | ["explain", id] => {
            client
                .show(&format!("jobs/{id}/explain"), render_explain)
                .await
        }
        ["job", "cancel", ids @ ..] if !ids.is_empty() => client.cancel(ids).await,
        ["report"] => client.report().await,
        ["audit"] => client.show(&audit_path(&args.audit)?, render_audit).await,
        ["hosts"] => client.show("hosts", render_hosts).await,
        ["timings"] => client.timings().await,
        ["print-config", file] => Ok(effective_settings(Path::new(file))?),
        ["check-settings", file] => {
            effective_settings(Path::new(file))?;
            Ok(format!("{file}: good"))
        }
        other => Err(eyre!(
            "unknown command or wrong operands: {}; see --help",
            other.join(" ")
        )
        .into()),
    }
}

fn read_file<T: DeserializeOwned>(file: &str) -> Result<T, Report> {
    let text = fs::read_to_string(file).map_err(|error| eyre!("{file}: {error}"))?;
    crate::settings::load::parse_settings(&text).map_err(|error| eyre!("{file}: {error}"))
}

/// Reads and checks the settings file of either daemon and returns it as JSON with all defaults.
///
/// A file with the key `schedulers` is taken for a gateway's, any other for a scheduler's.
fn effective_settings(path: &Path) -> Result<String, Report> {
    let text = fs::read_to_string(path).map_err(|error| eyre!("{}: {error}", path.display()))?;
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let raw = match value.get("schedulers") {
        Some(_) => {
            let settings = load_settings::<RawGatewaySettings, GatewaySettings>(path)?;
            serde_json::to_string_pretty(&settings.raw)?
        }
        None => {
            let settings = load_settings::<RawSchedulerSettings, SchedulerSettings>(path)?;
            serde_json::to_string_pretty(&settings.raw)?
        }
    };
    Ok(raw)
}

/// HTTP client of one gateway that formats responses as text or JSON.
struct GatewayClient {
    client: HttpClient,
    base: String,
    json: bool,
}

impl GatewayClient {
    fn new(args: &OperatorArgs) -> Self {
        let variable = std::env::var("HEMLOCKRAMP_GATEWAY").ok();
        let gateway = args.gateway.clone().or(variable);
        let gateway = gateway.unwrap_or_else(|| DEFAULT_GATEWAY.to_owned());
        Self {
            client: HttpClient::default(),
            base: format!("http://{gateway}"),
            json: args.json,
        }
    }

    fn timeout(&self) -> Duration {
        Duration::from_millis(RESPONSE_TIMEOUT_MS)
    }

    async fn apply<T: Serialize>(&self, body: T, path: &str) -> Result<String, OperatorError> {
        let url = format!("{}/{path}", self.base);
        let view: ChangeView = self.client.post(&url, &body, self.timeout()).await?;
        self.format_view(&view, |view| {
            format!("accepted at log offset {}", view.offset)
        })
    }

    async fn cancel(&self, ids: &[&str]) -> Result<String, OperatorError> {
        let names: Result<Vec<ObjectName>, Report> =
            ids.iter().map(|id| ObjectName::try_from(*id)).collect();
        let body = serde_json::json!({ "jobs": names? });
        self.apply(body, "cancellations").await
    }

    async fn show<T: DeserializeOwned + Serialize>(
        &self,
        path: &str,
        text: impl Fn(&T) -> String,
    ) -> Result<String, OperatorError> {
        let url = format!("{}/{path}", self.base);
        let view: T = self.client.get(&url, self.timeout()).await?;
        self.format_view(&view, text)
    }

    fn format_view<T: Serialize>(
        &self,
        view: &T,
        text: impl Fn(&T) -> String,
    ) -> Result<String, OperatorError> {
        match self.json {
            true => {
                let json = serde_json::to_string_pretty(view);
                json.map_err(|error| OperatorError::Usage(error.into()))
            }
            false => Ok(text(view)),
        }
    }

    async fn report(&self) -> Result<String, OperatorError> {
        let url = format!("{}/report?json={}", self.base, self.json);
        if self.json {
            let value: serde_json::Value = self.client.get(&url, self.timeout()).await?;
            return self.format_view(&value, |value| value.to_string());
        }
        Ok(self.client.get_text(&url, self.timeout()).await?)
    }

    async fn timings(&self) -> Result<String, OperatorError> {
        let mut text = String::new();
        for path in ["live", "ready", "report"] {
            let mut times = Vec::new();
            for _ in 0..TIMINGS_CALLS {
                let started = Instant::now();
                let url = format!("{}/{path}", self.base);
                self.client.get_text(&url, self.timeout()).await?;
                times.push(started.elapsed());
            }
            times.sort();
            let (median, most) = (times[TIMINGS_CALLS / 2], times[TIMINGS_CALLS - 1]);
            let _ = writeln!(
                text,
                "{path:<8} median {median:>10.2?}  longest {most:>10.2?}"
            );
        }
        Ok(text)
    }
}

fn audit_path(options: &AuditOptions) -> Result<String, Report> {
    let mut query = Vec::new();
    let mut add = |key: &str, value: &Option<String>| {
        if let Some(value) = value {
            query.push(format!("{key}={}", value.replace(' ', "%20")));
        }
    };
    add("kind", &options.kind);
    add("actor", &options.actor);
    add("subject", &options.subject);
    add("limit", &options.limit);
    if options.refused {
        query.push("refused=true".to_owned());
    }
    Ok(format!("audit?{}", query.join("&")))
}
