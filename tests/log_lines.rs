//! Tests of log lines: their form, and that those which are dropped are not formatted.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hemlockramp::daemons::line_budget::LineBudget;
use hemlockramp::daemons::log_line::write_json_line;
use hemlockramp::daemons::observe::bounded_builder;
use log::{Level, Log, Record};

/// Lines in each interval, as the operators' page tells.
const LINES_MAX: usize = 500;
const INTERVAL: Duration = Duration::from_secs(1);

/// A value that counts how often it is formatted.
struct CountedValue(AtomicUsize);

impl fmt::Display for CountedValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fetch_add(1, Ordering::Relaxed);
        formatter.write_str("value")
    }
}

/// Output that several owners share.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("the output").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_budget_are_not_formatted() {
    let output = SharedOutput::default();
    let budget = Arc::new(LineBudget::new(Instant::now() + INTERVAL));
    let logger = bounded_builder(Arc::clone(&budget), output.clone()).build();
    let value = CountedValue(AtomicUsize::new(0));
    let fields = [("task", log::kv::Value::from_display(&value))];
    for _ in 0..3 * LINES_MAX {
        let mut record = Record::builder();
        record.level(Level::Error).key_values(&fields);
        logger.log(&record.args(format_args!("a line.")).build());
    }
    let lines = output.0.lock().expect("the output");
    assert_eq!(
        lines.iter().filter(|&&byte| byte == b'\n').count(),
        LINES_MAX
    );
    assert_eq!(value.0.load(Ordering::Relaxed), LINES_MAX);
    assert_eq!(budget.take_dropped(), 2 * LINES_MAX as u64);
}

#[test]
fn each_interval_has_its_lines() {
    let start = Instant::now();
    let budget = LineBudget::new(start);
    let written = |now: Instant| {
        (0..2 * LINES_MAX)
            .filter(|_| budget.try_acquire(now))
            .count()
    };
    assert_eq!(written(start), LINES_MAX);
    assert_eq!(written(start + INTERVAL / 2), 0);
    assert_eq!(written(start + INTERVAL), LINES_MAX);
}

/// A record, and its line.
struct LineCase {
    message: &'static str,
    fields: &'static [(&'static str, &'static str)],
    line: &'static str,
}

#[test]
fn lines_are_json() {
    let cases = [
        LineCase {
            message: "plain.",
            fields: &[],
            line: r#"{"fields":{},"level":"INFO","message":"plain.","part":"p","time":"t"}"#,
        },
        LineCase {
            message: "a \"quoted\" one.",
            fields: &[("job", "a\\b\n"), ("run", "1")],
            line: r#"{"fields":{"job":"a\\b\n","run":"1"},"level":"INFO","message":"a \"quoted\" one.","part":"p","time":"t"}"#,
        },
    ];
    for case in cases {
        let mut line = Vec::new();
        let args = format_args!("{}", case.message);
        let mut record = Record::builder();
        record
            .level(Level::Info)
            .target("p")
            .key_values(&case.fields);
        write_json_line(&mut line, "t", &record.args(args).build()).expect("a line");
        let line = String::from_utf8(line).expect("text");
        assert_eq!(line, format!("{}\n", case.line));
    }
}
