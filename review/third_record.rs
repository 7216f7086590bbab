//! What was sent, answered and run in a case of the third review.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A start or an end of a run, as a runner saw it.
#[derive(Clone, Debug)]
pub struct Event {
    pub task: String,
    /// How the run ended; none for a start.
    pub how: Option<String>,
}

/// The record of one case, written as it happens.
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            begun: Instant::now(),
            file: Mutex::new(File::create(path).expect("create the record")),
            events: Mutex::default(),
        }
    }

    /// Returns the time since the case began, in ms.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().expect("lock");
        // The record is of no use if it can't be written.
        writeln!(file, "{:>8.3} s  {text}", ms as f64 / 1_000.0).expect("write the record");
    }

    pub fn note_start(&self, task: &str) {
        self.note(task, None);
    }

    pub fn note_end(&self, task: &str, how: &str) {
        self.note(task, Some(how.to_owned()));
    }

    fn note(&self, task: &str, how: Option<String>) {
        self.events.lock().expect("lock").push(Event {
            task: task.to_owned(),
            how,
        });
    }

    /// Returns the events of the tasks of a job.
    pub fn events_of(&self, job: &str) -> Vec<Event> {
        let events = self.events.lock().expect("lock");
        let own = events.iter().filter(|event| event.task.starts_with(job));
        own.cloned().collect()
    }
}
