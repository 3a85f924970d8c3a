//! Unit tests of `choice/output_work.rs`.

use super::*;

const CEILING: f64 = 800.0;

fn request(class: u16, max_output_tokens: f64) -> Request {
    Request {
        class,
        max_output_tokens,
        ..Request::default()
    }
}

#[test]
fn announced_lengths_count_until_answers_have_ended() {
    let mut work = OutputWork::default();
    assert_eq!(
        work.relative_work(&request(0, CEILING)),
        1.0,
        "nothing is known"
    );
    work.record_arrival(&request(0, 100.0));
    work.record_arrival(&request(0, 300.0));
    assert_eq!(work.relative_work(&request(0, 300.0)), 1.5);
}

/// Classes whose ceilings are alike differ by what their answers were.
#[test]
fn classes_have_the_work_of_their_answers() {
    let mut work = OutputWork::default();
    for n in 0..200 {
        let (class, tokens) = if n % 5 < 3 { (0, 50.0) } else { (1, 175.0) };
        work.record_arrival(&request(class, CEILING));
        work.record_answer(&request(class, CEILING), tokens);
    }
    let (light, heavy) = (
        work.relative_work(&request(0, CEILING)),
        work.relative_work(&request(1, CEILING)),
    );
    assert!(
        (light - 0.5).abs() < 0.1 && (heavy - 1.75).abs() < 0.15,
        "{light} {heavy}"
    );
}

#[test]
fn ceilings_count_as_far_as_they_tell_the_length() {
    let relative = |tokens: fn(u32) -> f64| {
        let mut work = OutputWork::default();
        for n in 0..400 {
            let ceiling = 100.0 + 200.0 * f64::from(n % 4);
            work.record_arrival(&request(0, ceiling));
            work.record_answer(&request(0, ceiling), tokens(n));
        }
        work.relative_work(&request(0, 700.0))
    };
    let told = relative(|n| 50.0 + 100.0 * f64::from(n % 4));
    let untold = relative(|_| 200.0);
    assert!((told - 1.75).abs() < 0.05, "{told}");
    assert!((untold - 1.0).abs() < 0.05, "{untold}");
}

#[test]
fn odd_lengths_do_no_lasting_harm() {
    let mut work = OutputWork::default();
    for tokens in [f64::NAN, f64::INFINITY, -1.0, f64::MAX] {
        work.record_arrival(&request(0, CEILING));
        work.record_answer(&request(0, CEILING), tokens);
    }
    assert_eq!(work.relative_work(&request(0, CEILING)), 1.0);
    for n in 0..1000 {
        let (class, tokens) = if n % 5 < 3 { (0, 50.0) } else { (1, 175.0) };
        work.record_arrival(&request(class, CEILING));
        work.record_answer(&request(class, CEILING), tokens);
    }
    let heavy = work.relative_work(&request(1, CEILING));
    assert!((heavy - 1.75).abs() < 0.15, "{heavy}");
}
