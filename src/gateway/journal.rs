//! Log lines on standard output that never hold up the work they tell of.
//!
//! Lines go through a bounded queue to a thread of their own. A reader that does
//! not keep up costs lines, which are counted, and never a request its time.

use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use fern::Dispatch;
use log::LevelFilter;

use crate::logging::{self, LogError};

/// Lines that may wait to be written; about half a megabyte.
const QUEUE_LINES: usize = 2_048;

/// Writer that hands each line to the queue.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("pistachiowick_log_lines_dropped_total").increment(1);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging for the process.
///
/// # Errors
///
/// Returns an error for an unknown level, or when a logger is already installed.
pub fn install(level: &str) -> Result<(), LogError> {
    let level: LevelFilter = level.parse().map_err(|_| LogError::Level {
        found: level.to_owned(),
    })?;
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    // Without the thread there are no lines; the process itself can still serve.
    let _ = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(128 * 1024)
        .spawn(move || write_lines(&queue, &counted));
    let writer = QueueWriter { lines, dropped };
    let boxed: Box<dyn Write + Send> = Box::new(writer);
    Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{}", logging::json_line(message, record)));
        })
        // Libraries report their inner workings at lower levels.
        .level(level.min(LevelFilter::Warn))
        .level_for("pistachiowick", level)
        .level_for("pistachiowick_platform", level)
        .chain(boxed)
        .apply()
        .map_err(fern::InitError::from)?;
    Ok(())
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = BufWriter::new(io::stdout());
    let mut told = 0;
    while let Ok(line) = queue.recv() {
        let mut wrote = out.write_all(&line);
        while let Ok(line) = queue.try_recv() {
            wrote = wrote.and_then(|()| out.write_all(&line));
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > told {
            told = lost;
            wrote = wrote.and_then(|()| {
                writeln!(
                    out,
                    "{{\"message\":\"log lines dropped\",\"count\":{lost}}}"
                )
            });
        }
        // Standard output that is gone leaves nowhere to say so.
        let _ = wrote.and_then(|()| out.flush());
    }
}
