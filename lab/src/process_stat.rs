//! Memory and processor time of processes and threads, as the kernel tells them.

use std::fs;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// Kernel ticks a second in which processor time is told; fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of a stat line after the name, up to the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Returns the resident bytes of a process; `None` asks for this one.
///
/// # Errors
///
/// Returns an error where there is no such process or no `/proc`.
pub fn resident_bytes(process: Option<u32>) -> Result<u64> {
    let name = process.map_or_else(|| "self".to_owned(), |id| id.to_string());
    let path = format!("/proc/{name}/status");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    let kilobytes = kilobytes.ok_or_else(|| eyre!("{path} tells no VmRSS"))?;
    Ok(kilobytes.parse::<u64>()? * 1_024)
}

/// Returns the processor time of this process's threads of a name, and their number.
///
/// # Errors
///
/// Returns an error where there is no `/proc`.
pub fn thread_time(name: &str) -> Result<(Duration, usize)> {
    let mut ticks = 0;
    let mut threads = 0;
    for task in fs::read_dir("/proc/self/task").wrap_err("cannot read /proc/self/task")? {
        // A thread may end while the list is read.
        if let Some(seen) = task.ok().and_then(|t| ticks_of(&t.path(), name)) {
            ticks += seen;
            threads += 1;
        }
    }
    let time = Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND);
    Ok((time, threads))
}

fn ticks_of(task: &Path, name: &str) -> Option<u64> {
    let stat = fs::read_to_string(task.join("stat")).ok()?;
    // The name stands in brackets and may hold blanks and brackets itself.
    let (before, after) = stat.rsplit_once(')')?;
    let (_, found) = before.split_once('(')?;
    if found != name {
        return None;
    }
    let mut times = after.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}
