//! Tests of the settings, schemas, examples and command lines of the programs.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use hemlockramp::command::daemon::schema_text;
use hemlockramp::settings::gateway::RawGatewaySettings;
use hemlockramp::settings::scheduler::RawSchedulerSettings;
use serde_json::{Value, json};

const SCHEDULER: &str = env!("CARGO_BIN_EXE_hemlockramp-scheduler");
const GATEWAY: &str = env!("CARGO_BIN_EXE_hemlockramp-gateway");
const OPERATOR: &str = env!("CARGO_BIN_EXE_hemlockramp");

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program)
        .args(arguments)
        .output()
        .expect("run the program")
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("write the file");
    path
}

fn scheduler_settings() -> Value {
    json!({
        "host": "e1", "failure_domain": "d0", "listen": "127.0.0.1:1",
        "log_address": "127.0.0.1:2", "host_list_address": "127.0.0.1:3",
    })
}

#[test]
fn invalid_settings_exit_with_one_line_that_names_the_key() {
    struct Case {
        name: &'static str,
        key: &'static str,
        value: Value,
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "unknown",
            key: "hsot",
            value: json!("x"),
            expected: &["hsot", "expected"],
        },
        Case {
            name: "type",
            key: "host",
            value: json!(7),
            expected: &["key host", "string"],
        },
        Case {
            name: "address",
            key: "listen",
            value: json!("nowhere"),
            expected: &["key listen", "address"],
        },
        Case {
            name: "name",
            key: "host",
            value: json!("a b"),
            expected: &["key host", "allowed"],
        },
        Case {
            name: "range",
            key: "timing",
            value: json!({ "tick_ms": 5 }),
            expected: &["timing.tick_ms", "5", "10 to 10000"],
        },
        Case {
            name: "memory",
            key: "memory_mb",
            value: json!(31),
            expected: &["memory_mb", "31", "32 to 1048576"],
        },
        Case {
            name: "renewal",
            key: "timing",
            value: json!({ "renew_ms": 9_000, "lost_after_ms": 20_000 }),
            expected: &["timing.renew_ms", "third"],
        },
        Case {
            name: "policy",
            key: "policy",
            value: json!({ "completion_weight": 101 }),
            expected: &["policy.completion_weight", "0 to 100"],
        },
    ];
    for case in cases {
        let mut settings = scheduler_settings();
        settings[case.key] = case.value;
        let path = write(&format!("bad-{}.json", case.name), &settings.to_string());
        let shown = path.display().to_string();
        let output = run(SCHEDULER, &[&shown]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{}: {stderr}", case.name);
        assert_eq!(stderr.lines().count(), 1, "{}: {stderr}", case.name);
        assert!(stderr.contains(&shown), "{}: {stderr}", case.name);
        for part in case.expected {
            assert!(
                stderr.contains(part),
                "{}: {part} is not in {stderr}",
                case.name
            );
        }
    }
}

#[test]
fn the_committed_schemas_are_current() {
    let committed = |name: &str| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("docs/schema")
            .join(name);
        fs::read_to_string(path)
            .expect("a schema")
            .trim_end()
            .to_owned()
    };
    assert_eq!(
        committed("scheduler.json"),
        schema_text::<RawSchedulerSettings>()
    );
    assert_eq!(
        committed("gateway.json"),
        schema_text::<RawGatewaySettings>()
    );
}

#[test]
fn examples_are_valid_and_print_config_shows_defaults() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for (program, part) in [(SCHEDULER, "scheduler"), (GATEWAY, "gateway")] {
        for user in ["lanka-rail", "salal-bin"] {
            let path = folder.join(format!("{user}-{part}.json"));
            let shown = path.display().to_string();
            for checker in [program, OPERATOR] {
                let output = run(checker, &["check-settings", &shown]);
                assert!(output.status.success(), "{shown}: {output:?}");
            }
            let output = run(program, &["print-config", &shown]);
            let printed: Value = serde_json::from_slice(&output.stdout).expect("JSON");
            let key = if part == "gateway" {
                "/requests/attempt_ms"
            } else {
                "/timing/lease_ms"
            };
            assert!(printed.pointer(key).is_some(), "{shown}: {printed}");
        }
    }
}

#[test]
fn programs_support_help_and_version_and_refuse_unknown_flags() {
    for program in [SCHEDULER, GATEWAY, OPERATOR] {
        for flag in ["--help", "--version"] {
            let output = run(program, &[flag]);
            assert!(
                output.status.success() && !output.stdout.is_empty(),
                "{program} {flag}"
            );
        }
        let output = run(program, &["--no-such-flag"]);
        assert_eq!(output.status.code(), Some(2), "{program}");
    }
    let output = run(
        OPERATOR,
        &["--gateway", "127.0.0.1:1", "job", "status", "x"],
    );
    assert_eq!(
        output.status.code(),
        Some(3),
        "nothing was sent: {output:?}"
    );
}
