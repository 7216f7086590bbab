//! Log lines to standard output: bounded in number, and never waited for.

use std::io::{self, Write};
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::stdio::stdout;

/// Lines allowed in each span.
const LINES_PER_INTERVAL: u32 = 500;
/// Length of a span, in ms.
const INTERVAL_MS: u64 = 1_000;

/// Writes whole lines or drops them, and counts what it dropped.
#[derive(Debug)]
pub struct LogWriter {
    interval_start: Instant,
    remaining: u32,
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
            interval_start: Instant::now(),
            remaining: LINES_PER_INTERVAL,
            dropped: 0,
        }
    }

    fn try_acquire(&mut self) -> bool {
        if self.interval_start.elapsed() >= Duration::from_millis(INTERVAL_MS) {
            self.interval_start = Instant::now();
            self.remaining = LINES_PER_INTERVAL;
        }
        let acquired = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        acquired
    }

    fn write_line(&mut self, line: &[u8]) {
        if !matches!(rustix::io::write(stdout(), line), Ok(length) if length == line.len()) {
            self.dropped += 1;
        }
    }

    fn report_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        metrics::counter!("hemlockramp_log_lines_dropped_total").increment(dropped);
        self.write_line(format!("{{\"level\":\"WARN\",\"part\":\"log\",\"message\":\"log: lines were dropped.\",\"fields\":{{\"count\":{dropped}}}}}\n").as_bytes());
    }
}

impl Write for LogWriter {
    /// Takes one whole line; the logger writes each with one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.try_acquire() {
            self.dropped += 1;
        } else {
            if self.dropped > 0 {
                self.report_dropped();
            }
            self.write_line(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
