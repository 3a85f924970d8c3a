//! How a day's clients behave when they are refused, and when more of them come.

use serde::Deserialize;

/// `[clients]`: shares of the conversations, drawn apart from each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Manners {
    /// Ask again at once, whatever `Retry-After` says.
    pub hasty_share: f64,
    /// Go to the next dispatcher at each refusal.
    pub roaming_share: f64,
    /// The longest that the others wait, seconds, though told to wait for longer.
    pub waits_most_s: f64,
}

impl Default for Manners {
    fn default() -> Self {
        Manners {
            hasty_share: 0.0,
            roaming_share: 0.0,
            waits_most_s: 2.0,
        }
    }
}

impl Manners {
    /// # Errors
    /// What is out of its bounds.
    pub(crate) fn check(&self) -> Result<(), String> {
        let bounds = [
            ("hasty_share", self.hasty_share, 1.0),
            ("roaming_share", self.roaming_share, 1.0),
            ("waits_most_s", self.waits_most_s, 60.0),
        ];
        match bounds
            .iter()
            .find(|(_, value, most)| !(0.0..=*most).contains(value))
        {
            Some((name, value, most)) => Err(format!(
                "clients.{name}: {value} is not between 0 and {most}"
            )),
            None => Ok(()),
        }
    }

    /// One conversation's, by two draws between 0 and 1.
    pub(crate) fn of(&self, hasty: f64, roaming: f64) -> Own {
        Own {
            hasty: hasty < self.hasty_share,
            roaming: roaming < self.roaming_share,
        }
    }
}

/// Manners of one conversation's client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    pub hasty: bool,
    pub roaming: bool,
}

/// `[[surge]]`: for some time all come so many times as often; those that overlap multiply.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    pub at_s: f64,
    pub for_s: f64,
    pub factor: f64,
}

impl Surge {
    /// # Errors
    /// What is out of its bounds.
    pub(crate) fn check(all: &[Surge]) -> Result<(), String> {
        let bad = |s: &&Surge| {
            !(0.0..=600.0).contains(&s.at_s)
                || !(0.0..=600.0).contains(&s.for_s)
                || !(0.01..=100.0).contains(&s.factor)
        };
        match all.iter().find(bad) {
            Some(s) => Err(format!(
                "surge at {} s: times are 0 to 600 s, factors 0.01 to 100",
                s.at_s
            )),
            None => Ok(()),
        }
    }

    /// How many times the day's rate is asked at a moment.
    pub(crate) fn factor(all: &[Surge], at_s: f64) -> f64 {
        all.iter()
            .filter(|s| s.at_s <= at_s && at_s < s.at_s + s.for_s)
            .map(|s| s.factor)
            .product()
    }
}

#[cfg(test)]
mod tests {
    use crate::clients::plan;
    use crate::day::Day;

    const DAY: &str = "seed = 5\nfor_s = 30\nrate_rps = 50\nhosts = []\n\
        dispatchers = { count = 1, settings = \"\" }\n\
        [[mix]]\nclass = \"a\"\nshare = 1\nturns = [1, 1]\nturn_tokens = [1, 1]\nanswer_tokens = [1, 1]\n\
        prefixes = 0\nprefix_tokens = 0\nprefix_share = 0\n";

    #[test]
    fn a_surge_multiplies_what_is_asked_while_it_lasts_and_no_longer() {
        let text = format!("{DAY}[[surge]]\nat_s = 10\nfor_s = 10\nfactor = 4\n");
        let plans = plan(&Day::parse(&text).expect("a day"));
        let within = |from: f64| {
            plans
                .iter()
                .filter(|p| (from..from + 10.0).contains(&p.at_s))
                .count() as f64
        };
        let ratio = |a: f64, b: f64| a / b;
        assert!(
            (3.0..5.0).contains(&ratio(within(10.0), within(0.0))),
            "{}",
            within(10.0)
        );
        assert!(
            (0.7..1.4).contains(&ratio(within(20.0), within(0.0))),
            "{}",
            within(20.0)
        );
    }

    #[test]
    fn manners_are_drawn_by_their_shares_and_change_nothing_else_of_the_plan() {
        let with = format!("{DAY}[clients]\nhasty_share = 0.5\nroaming_share = 0.25\n");
        let (plain, drawn) = (
            plan(&Day::parse(DAY).expect("a day")),
            plan(&Day::parse(&with).expect("a day")),
        );
        let share = |of: usize| of as f64 / drawn.len() as f64;
        let hasty = share(drawn.iter().filter(|p| p.own.hasty).count());
        let roaming = share(drawn.iter().filter(|p| p.own.roaming).count());
        assert!(
            (0.4..0.6).contains(&hasty) && (0.18..0.32).contains(&roaming),
            "{hasty} {roaming}"
        );
        assert!(plain.iter().all(|p| !p.own.hasty && !p.own.roaming));
        let times =
            |plans: &[crate::clients::Plan]| plans.iter().map(|p| p.at_s).collect::<Vec<_>>();
        assert_eq!(times(&plain), times(&drawn));
    }

    #[test]
    fn what_cannot_be_played_is_refused_with_its_name() {
        let fault = |more: &str| {
            Day::parse(&format!("{DAY}{more}"))
                .err()
                .unwrap_or_default()
        };
        assert!(fault("[clients]\nhasty_share = 1.5\n").starts_with("clients.hasty_share"));
        assert!(fault("[clients]\nwaits_most_s = 100\n").starts_with("clients.waits_most_s"));
        assert!(fault("[[surge]]\nat_s = 1\nfor_s = 1\nfactor = 0\n").starts_with("surge at 1"));
    }
}
