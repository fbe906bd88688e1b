//! Metrics as served.

use crate::leased::metrics::LeasedMetrics;

#[test]
fn resident_memory_is_served_where_the_kernel_tells_it() {
    let metrics = LeasedMetrics::new().unwrap();
    let text = String::from_utf8(metrics.encode()).unwrap();
    let resident = text.lines().find_map(|l| l.strip_prefix("resident_bytes "));
    let resident: u64 = resident.unwrap().parse().unwrap();
    let is_known = std::fs::read_to_string("/proc/self/status").is_ok();
    assert_eq!(resident > 1 << 20, is_known, "{resident}");
}
