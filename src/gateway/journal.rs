//! Non-blocking logging to standard output.
//!
//! A separate thread writes the lines from a bounded queue. If the reader of standard
//! output does not keep up, lines are dropped and counted; requests are never delayed.

use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use fern::Dispatch;
use log::LevelFilter;

use crate::logging::{self, LogError};

/// Capacity of the line queue; about half a megabyte.
const QUEUE_LINES: usize = 2_048;

/// Longest wait for queued lines at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Numbers of lines queued, written and dropped.
#[derive(Debug, Default)]
struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// Handle for flushing the log.
#[derive(Debug)]
pub struct LogHandle(Arc<LineCounts>);

impl LogHandle {
    /// Waits until the lines queued so far are written, for half a second at most.
    ///
    /// The writer thread ends with the process, so without a flush the last lines, which
    /// say why the process ended, would be lost.
    pub fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let queued = self.0.queued.load(Ordering::Acquire);
        while self.0.written.load(Ordering::Acquire) < queued && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Writer that queues each line.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_ok() {
            self.counts.queued.fetch_add(1, Ordering::Release);
        } else {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("pistachiowick_log_lines_dropped_total").increment(1);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns an error for an unknown level, or when a logger is already installed.
pub fn install(level: &str) -> Result<LogHandle, LogError> {
    let level: LevelFilter = level.parse().map_err(|_| LogError::Level {
        found: level.to_owned(),
    })?;
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let counts = Arc::new(LineCounts::default());
    let handle = LogHandle(counts.clone());
    let thread_counts = counts.clone();
    // If the thread cannot be started, the process serves requests without logging.
    let _ = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(128 * 1024)
        .spawn(move || write_lines(&queue, &thread_counts));
    let writer = QueueWriter { lines, counts };
    let boxed: Box<dyn Write + Send> = Box::new(writer);
    Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{}", logging::json_line(message, record)));
        })
        // Libraries log internal details below `warn`.
        .level(level.min(LevelFilter::Warn))
        .level_for("pistachiowick", level)
        .level_for("pistachiowick_platform", level)
        .chain(boxed)
        .apply()
        .map_err(fern::InitError::from)?;
    Ok(handle)
}

fn write_lines(queue: &Receiver<Vec<u8>>, counts: &LineCounts) {
    let mut out = BufWriter::new(io::stdout());
    let mut reported = 0;
    while let Ok(line) = queue.recv() {
        let mut batch = 1;
        let mut result = out.write_all(&line);
        while let Ok(line) = queue.try_recv() {
            batch += 1;
            result = result.and_then(|()| out.write_all(&line));
        }
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported {
            reported = dropped;
            let line = format!("{{\"message\":\"log lines dropped\",\"count\":{dropped}}}\n");
            result = result.and_then(|()| out.write_all(line.as_bytes()));
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = result.and_then(|()| out.flush());
        counts.written.fetch_add(batch, Ordering::Release);
    }
}
