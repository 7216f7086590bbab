//! Log lines to standard output: bounded in number, and never waited for.

use std::io::{self, Write};
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::stdio::stdout;

/// Lines allowed in each span.
const LINES_PER_SPAN: u32 = 500;
/// Length of a span, in ms.
const SPAN_MS: u64 = 1_000;

/// Writes whole lines or drops them, and counts what it dropped.
#[derive(Debug)]
pub struct LogWriter {
    span: Instant,
    left: u32,
    dropped: u64,
}

impl LogWriter {
    /// Creates the writer; standard output no longer blocks from here on.
    pub fn open() -> Self {
        let set =
            fcntl_getfl(stdout()).and_then(|flags| fcntl_setfl(stdout(), flags | OFlags::NONBLOCK));
        if let Err(error) = set {
            eprintln!("log: standard output may block: {error}");
        }
        Self {
            span: Instant::now(),
            left: LINES_PER_SPAN,
            dropped: 0,
        }
    }

    fn allowed(&mut self) -> bool {
        if self.span.elapsed() >= Duration::from_millis(SPAN_MS) {
            self.span = Instant::now();
            self.left = LINES_PER_SPAN;
        }
        let allowed = self.left > 0;
        self.left = self.left.saturating_sub(1);
        allowed
    }

    fn put(&mut self, line: &[u8]) {
        if !matches!(rustix::io::write(stdout(), line), Ok(length) if length == line.len()) {
            self.dropped += 1;
        }
    }

    fn tell_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        metrics::counter!("hemlockramp_log_lines_dropped_total").increment(dropped);
        self.put(format!("{{\"level\":\"WARN\",\"part\":\"log\",\"message\":\"log: lines were dropped.\",\"fields\":{{\"count\":{dropped}}}}}\n").as_bytes());
    }
}

impl Write for LogWriter {
    /// Takes one whole line; the logger writes each with one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.allowed() {
            self.dropped += 1;
        } else {
            if self.dropped > 0 {
                self.tell_dropped();
            }
            self.put(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
