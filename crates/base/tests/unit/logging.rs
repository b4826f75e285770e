//! The log's queue: bounded, and never waiting for its reader.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::{Log, Record};

use super::{Bounded, QUEUE};

/// A reader that takes nothing until it is let go, and tells when a write has begun.
struct Stuck {
    begun: Sender<()>,
    go: Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.begun.send(());
        let _ = self.go.recv();
        self.text.lock().unwrap().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(log: &Bounded) {
    log.log(&Record::builder().args(format_args!("a line")).build());
}

#[test]
fn a_reader_that_is_stuck_costs_lines_that_are_counted() {
    let (begun, begins) = channel();
    let (go, gone) = channel();
    let text = Arc::new(Mutex::new(String::new()));
    let log = Bounded::spawn(Box::new(Stuck { begun, go: gone, text: Arc::clone(&text) }));
    line(&log);
    begins.recv().unwrap();
    // The writer is in its write: the queue fills, and the rest is dropped without waiting.
    for _ in 0..QUEUE + 10 {
        line(&log);
    }
    drop(go);
    // The second write holds the whole queue.
    begins.recv().unwrap();
    log.flush();
    assert!(text.lock().unwrap().contains("\"count\":10}"), "ten lines did not fit");
}
