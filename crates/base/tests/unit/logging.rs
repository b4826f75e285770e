//! Tests of the log queue, which drops lines instead of blocking its callers.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::{Log, Record};

use super::{QUEUE_CAPACITY, QueuedLog};

/// Output whose writes block until `resume` receives a message or its sender is dropped.
struct BlockedOutput {
    /// Receives a message at the start of each write.
    started: Sender<()>,
    resume: Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.started.send(());
        let _ = self.resume.recv();
        self.text.lock().unwrap().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_line(log: &QueuedLog) {
    log.log(&Record::builder().args(format_args!("a line")).build());
}

#[test]
fn lines_beyond_the_queue_are_dropped_and_counted_while_the_output_blocks() {
    let (started, starts) = channel();
    let (resume, resumed) = channel();
    let text = Arc::new(Mutex::new(String::new()));
    let log = QueuedLog::spawn(Box::new(BlockedOutput {
        started,
        resume: resumed,
        text: Arc::clone(&text),
    }));
    log_line(&log);
    starts.recv().unwrap();
    // The writer thread is blocked, so the queue fills up and 10 lines are dropped.
    for _ in 0..QUEUE_CAPACITY + 10 {
        log_line(&log);
    }
    drop(resume);
    // The second write contains all queued lines.
    starts.recv().unwrap();
    log.flush();
    assert!(
        text.lock().unwrap().contains("\"count\":10}"),
        "the number of dropped lines is not logged"
    );
}
