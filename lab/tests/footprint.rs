//! Readings of memory and processor time, and the slopes made of them.

use std::hint::black_box;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pistachiowick_lab::footprint::SizeSlope;
use pistachiowick_lab::process_stat::{resident_bytes, thread_time};
use rstest::rstest;

#[rstest]
#[case::grows((10, 110), (1_000, 3_000), 20.0)]
#[case::flat((10, 110), (1_000, 1_000), 0.0)]
#[case::shrinks((10, 20), (1_000, 900), -10.0)]
fn slope_is_the_growth_of_each(
    #[case] counts: (usize, usize),
    #[case] bytes: (u64, u64),
    #[case] expected: f64,
) {
    let slope = SizeSlope::new("things", counts, bytes);
    assert!((slope.bytes_each - expected).abs() < 1e-9, "{slope:?}");
}

#[test]
fn resident_memory_grows_with_what_is_held() {
    const HELD: usize = 64 << 20;
    let before = resident_bytes(None).expect("a kernel that tells");
    let held = black_box(vec![1_u8; HELD]);
    let after = resident_bytes(Some(std::process::id())).expect("a kernel that tells");
    assert!(after >= before + HELD as u64 / 2, "{before} to {after}");
    drop(held);
}

#[test]
fn missing_process_is_an_error() {
    assert!(resident_bytes(Some(u32::MAX)).is_err());
}

#[test]
fn threads_are_found_by_their_whole_name() {
    let (stop, stopped) = mpsc::channel::<()>();
    let worker = thread::Builder::new()
        .name("footprint) x".to_owned())
        .spawn(move || stopped.recv().is_err())
        .expect("a thread");
    let (time, threads) = loop {
        let found = thread_time("footprint) x").expect("a kernel that tells");
        // A new thread takes its name a moment after its start.
        if found.1 > 0 {
            break found;
        }
        thread::yield_now();
    };
    assert_eq!(threads, 1);
    assert!(time < Duration::from_secs(1));
    assert_eq!(thread_time("footprint").expect("a kernel that tells").1, 0);
    drop(stop);
    assert!(worker.join().expect("it ends"));
}
