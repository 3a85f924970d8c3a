//! What is read of the machine, so that a failed day shows whether its processes were kept from running.

use std::time::Duration;

use bitternlatch_machine_load::{stolen_time, waited_time, Monitor};

#[test]
fn stolen_time_and_waits_are_read_from_the_kernels_texts() {
    let stat = "cpu  265591 0 31009 435741 2075 0 2201 612 0 0\ncpu0 1 2 3 4 5 6 7 8 0 0\n";
    assert_eq!(stolen_time(stat), Some(Duration::from_millis(6120)));
    assert_eq!(stolen_time("cpu  1 2 3"), None);
    let pressure =
        "some avg10=16.84 avg60=15.42 avg300=8.04 total=45392277\nfull avg10=0.00 total=0\n";
    assert_eq!(
        waited_time(pressure),
        Some(Duration::from_micros(45_392_277))
    );
    assert_eq!(waited_time(""), None);
}

#[test]
fn a_monitor_covers_the_time_from_start_to_finish() {
    let monitor = Monitor::start();
    std::thread::sleep(Duration::from_millis(60));
    let load = monitor.finish();
    assert!(load.lasted >= Duration::from_millis(60), "{load}");
    assert!(load.longest_stall <= load.lasted, "{load}");
}
