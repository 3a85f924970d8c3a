//! Tests of accounts and bills.

use bitternlatch_budget::book::Accounts;
use bitternlatch_budget::bucket::InsufficientBudget;
use bitternlatch_budget::charge::{Entries, Entry, InsertOutcome, Usage};
use bitternlatch_budget::period::PeriodUnit;
use bitternlatch_budget::plan::{Budget, Period, Rate};
use bitternlatch_budget::Amount;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

fn budget(per_s: f64, burst: f64) -> Budget {
    let rate = Some(Rate {
        tokens_per_s: per_s,
        burst_tokens: burst,
    });
    Budget {
        rate,
        period: None,
        reserve: Default::default(),
    }
}

fn amount(prompt: u32, output: u32) -> Amount {
    Amount { prompt, output }
}

fn class(name: &str) -> Option<u16> {
    ["query", "booking"]
        .iter()
        .position(|c| *c == name)
        .map(|i| i as u16)
}

#[test]
fn settlement_refunds_unused_tokens_and_charges_excess_as_deficit() {
    let mut accounts = Accounts::default();
    accounts.set_budget(0.0, 1, &budget(10.0, 1000.0), 1.0, class);
    let reservation = accounts
        .reserve(0.0, 1, 0, amount(400, 500))
        .expect("reserved");
    assert_eq!(
        accounts.reserve(0.0, 1, 0, amount(100, 100)),
        Err(InsufficientBudget::RetryAfter(10.0))
    );
    accounts.settle(reservation, amount(420, 80));
    assert_eq!(accounts.remaining(0.0, 1).rate, Some(500.0));
    let reservation = accounts
        .reserve(0.0, 1, 0, amount(400, 100))
        .expect("reserved");
    accounts.settle(reservation, amount(900, 100));
    assert_eq!(accounts.remaining(0.0, 1).rate, Some(-500.0));
    assert_eq!(
        accounts.reserve(0.0, 1, 0, amount(5, 5)),
        Err(InsufficientBudget::RetryAfter(51.0)),
        "the deficit is refilled first"
    );
    assert!(
        accounts.reserve(0.0, 9, 0, amount(1 << 30, 0)).is_ok(),
        "a tenant without a budget has no limit"
    );
}

#[test]
fn nearest_limit_is_reported_below_a_fifth() {
    let mut plan = budget(10.0, 1000.0);
    plan.period = Some(Period {
        tokens: 1100,
        per: PeriodUnit::Day,
        zone: "UTC".into(),
    });
    let mut accounts = Accounts::default();
    let noon = 1_770_033_600.0;
    accounts.set_budget(noon, 1, &plan, 1.0, class);
    assert_eq!(
        (
            accounts.nearest_limit(noon, 1),
            accounts.nearest_limit(noon, 2)
        ),
        (None, None)
    );
    let reservation = accounts
        .reserve(noon, 1, 0, amount(790, 0))
        .expect("reserved");
    assert_eq!(
        accounts.nearest_limit(noon, 1),
        None,
        "a fifth of both limits remains"
    );
    let more = accounts
        .reserve(noon, 1, 0, amount(110, 0))
        .expect("reserved");
    let near = accounts.nearest_limit(noon, 1).expect("near a limit");
    assert_eq!(
        (near.limit, near.remaining, near.reset_s),
        (1000.0, 100.0, 90.0),
        "the rate limit is nearer than the daily limit"
    );
    let near = accounts
        .nearest_limit(noon + 50.0, 1)
        .expect("near a limit");
    assert_eq!(
        (near.limit, near.remaining),
        (1100.0, 200.0),
        "the daily limit is nearer"
    );
    assert!(near.reset_s > 40_000.0);
    accounts.settle(reservation, amount(0, 0));
    accounts.settle(more, amount(0, 0));
    assert_eq!(accounts.nearest_limit(noon + 50.0, 1), None);
}

#[test]
fn reserve_is_exclusive_to_its_class_and_the_longer_wait_is_reported() {
    let mut plan = budget(10.0, 1000.0);
    plan.reserve.insert("booking".into(), 0.3);
    plan.period = Some(Period {
        tokens: 2000,
        per: PeriodUnit::Day,
        zone: "UTC".into(),
    });
    assert_eq!(plan.validate(|c| class(c).is_some()), Ok(()));
    let mut accounts = Accounts::default();
    let noon = 1_770_033_600.0;
    accounts.set_budget(noon, 1, &plan, 1.0, class);
    let first = accounts
        .reserve(noon, 1, 0, amount(700, 0))
        .expect("reserved");
    assert_eq!(
        accounts.reserve(noon, 1, 0, amount(1, 0)),
        Err(InsufficientBudget::RetryAfter(0.1)),
        "the remainder is reserved for the booking class"
    );
    let second = accounts
        .reserve(noon, 1, 1, amount(300, 0))
        .expect("reserved");
    for reservation in [first, second] {
        let used = reservation.amount();
        accounts.settle(reservation, used);
    }
    assert_eq!(accounts.remaining(noon, 1).period, Some(1000));
    assert!(
        matches!(accounts.reserve(noon + 1000.0, 1, 0, amount(500, 0)), Err(InsufficientBudget::RetryAfter(s)) if s > 40_000.0),
        "the daily limit"
    );
    assert_eq!(
        accounts.reserve(noon, 1, 0, amount(800, 0)),
        Err(InsufficientBudget::Never)
    );
    // The share of the budget is halved and restored: the usage in the period is unchanged.
    accounts.set_budget(noon, 1, &plan, 0.5, class);
    assert_eq!(accounts.remaining(noon, 1).period, Some(0));
    accounts.set_budget(noon, 1, &plan, 1.0, class);
    assert_eq!(accounts.remaining(noon, 1).period, Some(1000));
}

#[test]
fn accounts_of_10_000_tenants_are_independent() {
    let mut accounts = Accounts::default();
    (0..10_000).for_each(|t| accounts.set_budget(0.0, t, &budget(10.0, 100.0), 1.0, class));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(4);
    let (mut hot, mut others) = (0, 0);
    for i in 0..50_000u32 {
        let now = f64::from(i) / 5000.0;
        let tenant = if rng.next_u64() % 2 == 0 {
            7
        } else {
            (rng.next_u64() % 10_000) as u32
        };
        if let Ok(reservation) = accounts.reserve(now, tenant, 0, amount(4, 4)) {
            accounts.settle(reservation, amount(4, 4));
            if tenant == 7 {
                hot += 1;
            } else {
                others += 1;
            }
        }
    }
    assert!(
        (24..=25).contains(&hot),
        "{hot} requests of 8 tokens from a burst of 100 and 10 s at 10 tokens/s"
    );
    assert!(others > 24_000, "{others} of about 25,000");
}

fn entry(response: &str, number: u32, used: Usage) -> Entry {
    Entry {
        response: response.into(),
        number,
        tenant: "bands".into(),
        class: "query".into(),
        owner: String::new(),
        key: String::new(),
        accepted_us: 5,
        used,
    }
}

#[test]
fn bill_does_not_depend_on_order_or_repetition_of_entries() {
    let all = [
        entry("r1", 1, Usage::Known(amount(100, 20))),
        entry("r2", 1, Usage::AtMost(amount(300, 200))),
        entry("r2", 2, Usage::Known(amount(310, 90))),
        entry("r3", 1, Usage::AtMost(amount(7, 8))),
    ];
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(9);
    for _ in 0..200 {
        let mut entries = Entries::default();
        for _ in 0..30 {
            entries.insert(all[(rng.next_u64() % 4) as usize].clone());
        }
        for entry in all.iter().rev() {
            entries.insert(entry.clone());
        }
        let bill = entries.bill(0, 10);
        let line = bill[&("bands".to_string(), "query".to_string())];
        assert_eq!((line.requests, line.prompt, line.output), (2, 410, 110));
        assert_eq!((line.possibly, line.possibly_tokens), (1, 15));
        assert!(entries.bill(0, 5).is_empty(), "another period");
        assert_eq!(
            entries.insert(entry("r1", 1, Usage::Known(amount(1, 1)))),
            InsertOutcome::Conflict
        );
        assert_eq!(entries.bill(0, 10), bill, "the first entry stays in effect");
    }
}

#[test]
fn invalid_budgets_are_rejected_with_the_key() {
    let invalid_key = |plan: &Budget| {
        plan.validate(|c| class(c).is_some())
            .expect_err("rejected")
            .0
    };
    assert_eq!(invalid_key(&budget(0.0, 10.0)), "rate.tokens_per_s");
    assert_eq!(invalid_key(&budget(f64::NAN, 10.0)), "rate.tokens_per_s");
    assert_eq!(invalid_key(&budget(1.0, 0.0)), "rate.burst_tokens");
    let mut plan = budget(1.0, 1.0);
    plan.period = Some(Period {
        tokens: 1,
        per: PeriodUnit::Day,
        zone: "Mars/Olympus".into(),
    });
    assert_eq!(invalid_key(&plan), "period.zone");
    plan.period = None;
    plan.reserve.insert("nothing".into(), 0.1);
    assert_eq!(invalid_key(&plan), "reserve");
    plan.reserve = [("query".to_string(), 0.6), ("booking".to_string(), 0.6)].into();
    assert_eq!(invalid_key(&plan), "reserve");
}
