//! Unit tests of `choice/decay.rs`.

use super::*;

#[test]
fn value_halves_with_each_half_life() {
    let mut mean = DecayingMean::default();
    mean.raise_to(8.0, 100.0, 2.0);
    assert_eq!(mean.at(100.0, 2.0), 8.0);
    assert_eq!(mean.at(102.0, 2.0), 4.0);
    assert_eq!(mean.at(106.0, 2.0), 1.0);
    assert_eq!(mean.at(90.0, 2.0), 8.0, "clock time before the sample");
}

#[test]
fn sample_is_averaged_with_the_decayed_value() {
    let mut mean = DecayingMean::default();
    mean.raise_to(8.0, 100.0, 2.0);
    mean.add(12.0, 0.25, 102.0, 2.0);
    assert_eq!(mean.at(102.0, 2.0), 6.0);
    mean.average_with(5.0, 104.0, 2.0);
    assert_eq!(mean.at(104.0, 2.0), 4.0);
    mean.raise_to(1.0, 106.0, 2.0);
    assert_eq!(mean.at(106.0, 2.0), 2.0, "floor below the decayed value");
}

#[test]
fn invalid_numbers_count_as_zero() {
    let invalid = [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY];
    assert_eq!(invalid.map(non_negative), [0.0; 4]);
    assert_eq!(non_negative(0.5), 0.5);
}
