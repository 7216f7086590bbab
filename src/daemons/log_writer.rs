//! Log writer for standard output that never blocks.

use std::io::{self, Write};
use std::sync::Arc;

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::stdio::stdout;

use crate::daemons::line_budget::LineBudget;

/// Writes whole lines or drops them, and reports how many were dropped.
#[derive(Debug)]
pub struct LogWriter {
    budget: Arc<LineBudget>,
}

impl LogWriter {
    /// Creates the writer and sets standard output to non-blocking mode.
    pub fn open(budget: Arc<LineBudget>) -> Self {
        let set =
            fcntl_getfl(stdout()).and_then(|flags| fcntl_setfl(stdout(), flags | OFlags::NONBLOCK));
        if let Err(error) = set {
            eprintln!(
                "log: cannot set standard output to non-blocking, so logging may block: {error}"
            );
        }
        Self { budget }
    }

    fn write_line(&self, line: &[u8]) {
        if !matches!(rustix::io::write(stdout(), line), Ok(length) if length == line.len()) {
            self.budget.add_dropped();
        }
    }

    fn report_dropped(&self, dropped: u64) {
        metrics::counter!("hemlockramp_log_lines_dropped_total").increment(dropped);
        self.write_line(format!("{{\"level\":\"WARN\",\"part\":\"log\",\"message\":\"log: lines were dropped.\",\"fields\":{{\"count\":{dropped}}}}}\n").as_bytes());
    }
}

impl Write for LogWriter {
    /// Takes one whole line: the logger writes each line with a single call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = self.budget.take_dropped();
        if dropped > 0 {
            self.report_dropped(dropped);
        }
        self.write_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
