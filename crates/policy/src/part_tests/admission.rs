//! Unit tests of `choice/admission.rs`.

use super::*;

const NOW: f64 = 1_000.0;

fn controller() -> AdmissionController {
    AdmissionController::new(1, &[TenantSettings { quota_rps: 1.0 }])
}

#[test]
fn tenant_is_over_its_quota_after_a_burst_until_the_bucket_refills() {
    let mut admission = controller();
    let over = (0..6).filter(|_| admission.is_over_quota(NOW, 0)).count();
    assert_eq!(over, 1, "two seconds of the quota and three requests");
    assert!(!admission.is_over_quota(NOW + 1.0, 0));
    assert!(admission.is_over_quota(NOW + 1.0, 0));
    assert!(!admission.is_over_quota(NOW, 1), "no such tenant");
}

#[test]
fn recent_key_fraction_covers_earlier_requests_only() {
    let mut admission = controller();
    assert_eq!(admission.record_key(5), 0.0);
    assert_eq!(admission.record_key(6), 0.0);
    assert_eq!(admission.record_key(5), 0.5);
    (0..MAX_RECENT_KEYS).for_each(|_| _ = admission.record_key(7));
    assert_eq!(admission.record_key(5), 0.0);
}

#[test]
fn expected_lateness_is_bounded_by_the_estimate() {
    let admission = controller();
    let late = |waiting: &[f64]| admission.expected_lateness_s(NOW, 0.5, waiting.iter().copied());
    assert_eq!(late(&[]), 0.0);
    assert_eq!(late(&[0.2, 0.4]), (0.2 + 0.4) / 2.0);
    assert_eq!(late(&[30.0]), 1.0);
}

#[test]
fn over_quota_requests_have_a_lower_ttft_limit() {
    assert_eq!(AdmissionController::max_ttft_s(1.0, false, 9.0), 1.2);
    assert_eq!(AdmissionController::max_ttft_s(1.0, true, 9.0), 0.35);
    assert_eq!(AdmissionController::max_ttft_s(1.0, false, 0.5), 0.5);
}
