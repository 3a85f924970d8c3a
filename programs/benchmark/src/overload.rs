//! What is answered in time as more and more is asked, with overload control off and on by turns in one run: four dispatchers,
//! twelve hosts, clients with two more tries, no troubles.

use std::path::Path;

use bitternlatch_chaos::day::Day;
use bitternlatch_chaos::run::{run, Outcome};
use bitternlatch_invariant_checker::quantile;

use crate::rig::folder;

const DAY: &str = r#"
seed = 7
retries = 2
[dispatchers]
settings = "dispatch.toml"
cluster = true
[[mix]]
class = "slot-query"
share = 0.6
turns = [1, 3]
turn_tokens = [250, 530]
answer_tokens = [20, 60]
prefixes = 6
prefix_tokens = 1400
prefix_share = 0.75
[[mix]]
class = "season-booking"
share = 0.4
turns = [1, 1]
turn_tokens = [600, 1200]
answer_tokens = [20, 50]
prefixes = 3
prefix_tokens = 800
prefix_share = 0.15
[[hosts]]
name = "reader-[1:5]"
kind = "reader"
role = "reader"
cells = ["rack-a", "rack-b"]
[[hosts]]
name = "writer-[1:7]"
kind = "writer"
role = "writer"
cells = ["rack-a", "rack-b"]
"#;

/// What is measured.
pub struct Wanted<'a> {
    pub rates: &'a [f64],
    pub for_s: f64,
    pub dispatchers: usize,
    /// The longest that clients wait though told to wait for longer.
    pub waits_most_s: f64,
    pub off_only: bool,
}

fn day(wanted: &Wanted, rate_rps: f64, on: bool) -> Result<Day, String> {
    let head = format!(
        "for_s = {:?}\nrate_rps = {rate_rps:?}\nclients = {{ waits_most_s = {:?} }}\n",
        wanted.for_s, wanted.waits_most_s
    );
    let beside = if on {
        "beside = { overload = {} }\n"
    } else {
        ""
    };
    let dispatchers = format!("[dispatchers]\ncount = {}\n{beside}", wanted.dispatchers);
    Day::parse(&(head + &DAY.replace("[dispatchers]\n", &dispatchers)))
}

fn line(rate_rps: f64, on: bool, of: &Outcome) {
    let (s, load) = (&of.verdict.service, &of.verdict.load);
    let part = |name: &str| load.parts.get(name).cloned().unwrap_or_default();
    let spread = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.2}"));
    let (query, booking) = (part("slot-query"), part("season-booking"));
    println!(
        "| {rate_rps} | {} | {} | {} | {} | {} | {:.3} | {:.0} | {:.2} / {:.2} s | {:.2} / {:.2} s | {:.2} / {:.2} s | {:.2} | {:.2} | {} | {} | {} |",
        if on { "on" } else { "off" },
        s.asked,
        s.tries,
        s.served,
        s.refused,
        s.worth,
        s.worth * s.asked as f64,
        quantile(&of.verdict.ttft_s, 0.5),
        quantile(&of.verdict.ttft_s, 0.99),
        query.first_token_p50_s,
        query.first_token_p99_s,
        booking.first_token_p50_s,
        booking.first_token_p99_s,
        load.repeats,
        load.probes_most(),
        spread(load.refused_spread_of_class),
        spread(load.refused_spread),
        of.verdict.breaches.len(),
    );
}

/// # Errors
/// Where a day cannot be played.
pub fn measure(wanted: &Wanted) -> Result<(), String> {
    let image = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    println!(
        "{} dispatchers, 12 hosts, {} s, 60% slot-query and 40% season-booking, two more tries",
        wanted.dispatchers, wanted.for_s
    );
    println!(
        "| rate | control | asked | tries | served | refused tries | worth | worth x asked | first token p50 / p99 from the first try | \
         of a served try: slot-query | season-booking | repeats | probes a host/s | refused share differs by class | by level | breaches |"
    );
    println!("|{}", " --- |".repeat(16));
    for rate in wanted.rates {
        for on in [false, true]
            .into_iter()
            .filter(|on| !on || !wanted.off_only)
        {
            let dir = folder();
            let outcome = run(&day(wanted, *rate, on)?, Path::new("deploy"), &dir, &image)?;
            line(*rate, on, &outcome);
            let _ = std::fs::remove_dir_all(&dir);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::{day, Wanted};

    #[test]
    fn the_two_days_differ_by_the_control_alone() {
        let wanted = Wanted {
            rates: &[],
            for_s: 15.0,
            dispatchers: 4,
            waits_most_s: 2.0,
            off_only: false,
        };
        let (off, on) = (
            day(&wanted, 900.0, false).expect("a day"),
            day(&wanted, 900.0, true).expect("a day"),
        );
        assert!(
            off.dispatchers.beside.is_empty() && on.dispatchers.beside.contains_key("overload")
        );
        assert_eq!(
            (
                on.dispatchers.count,
                on.hosts.len(),
                on.retries,
                on.rate_rps
            ),
            (4, 12, 2, 900.0)
        );
        assert!(off.dispatchers.cluster && on.dispatchers.cluster && on.troubles().is_empty());
    }
}
