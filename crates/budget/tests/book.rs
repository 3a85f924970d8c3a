//! Accounts and bills.

use bitternlatch_budget::book::Book;
use bitternlatch_budget::bucket::Short;
use bitternlatch_budget::charge::{Entries, Entry, Offered, Used};
use bitternlatch_budget::period::Per;
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
fn what_is_held_and_not_used_is_there_again_at_once_and_what_is_over_is_owed() {
    let mut book = Book::default();
    book.open(0.0, 1, &budget(10.0, 1000.0), 1.0, class);
    let hold = book.hold(0.0, 1, 0, amount(400, 500)).expect("held");
    assert_eq!(
        book.hold(0.0, 1, 0, amount(100, 100)),
        Err(Short::For(10.0))
    );
    book.settle(hold, amount(420, 80));
    assert_eq!(book.left(0.0, 1).rate, Some(500.0));
    let hold = book.hold(0.0, 1, 0, amount(400, 100)).expect("held");
    book.settle(hold, amount(900, 100));
    assert_eq!(book.left(0.0, 1).rate, Some(-500.0));
    assert_eq!(
        book.hold(0.0, 1, 0, amount(5, 5)),
        Err(Short::For(51.0)),
        "the debt is paid off first"
    );
    assert!(
        book.hold(0.0, 9, 0, amount(1 << 30, 0)).is_ok(),
        "a tenant without a budget is not bounded"
    );
}

#[test]
fn who_is_near_a_bound_is_told_the_nearest() {
    let mut plan = budget(10.0, 1000.0);
    plan.period = Some(Period {
        tokens: 1100,
        per: Per::Day,
        zone: "UTC".into(),
    });
    let mut book = Book::default();
    let noon = 1_770_033_600.0;
    book.open(noon, 1, &plan, 1.0, class);
    assert_eq!((book.near(noon, 1), book.near(noon, 2)), (None, None));
    let hold = book.hold(noon, 1, 0, amount(790, 0)).expect("held");
    assert_eq!(book.near(noon, 1), None, "a fifth is left of both");
    let more = book.hold(noon, 1, 0, amount(110, 0)).expect("held");
    let near = book.near(noon, 1).expect("near");
    assert_eq!(
        (near.limit, near.remaining, near.reset_s),
        (1000.0, 100.0, 90.0),
        "the rate is nearer than the day"
    );
    let near = book.near(noon + 50.0, 1).expect("near");
    assert_eq!(
        (near.limit, near.remaining),
        (1100.0, 200.0),
        "now the day is"
    );
    assert!(near.reset_s > 40_000.0);
    book.settle(hold, amount(0, 0));
    book.settle(more, amount(0, 0));
    assert_eq!(book.near(noon + 50.0, 1), None);
}

#[test]
fn a_reserve_is_for_its_class_alone_and_the_longer_wait_is_told() {
    let mut plan = budget(10.0, 1000.0);
    plan.reserve.insert("booking".into(), 0.3);
    plan.period = Some(Period {
        tokens: 2000,
        per: Per::Day,
        zone: "UTC".into(),
    });
    assert_eq!(plan.check(|c| class(c).is_some()), Ok(()));
    let mut book = Book::default();
    let noon = 1_770_033_600.0;
    book.open(noon, 1, &plan, 1.0, class);
    let first = book.hold(noon, 1, 0, amount(700, 0)).expect("held");
    assert_eq!(
        book.hold(noon, 1, 0, amount(1, 0)),
        Err(Short::For(0.1)),
        "the rest is the bookings'"
    );
    let second = book.hold(noon, 1, 1, amount(300, 0)).expect("a booking");
    for hold in [first, second] {
        let used = hold.bound();
        book.settle(hold, used);
    }
    assert_eq!(book.left(noon, 1).period, Some(1000));
    assert!(
        matches!(book.hold(noon + 1000.0, 1, 0, amount(500, 0)), Err(Short::For(s)) if s > 40_000.0),
        "the day's amount"
    );
    assert_eq!(book.hold(noon, 1, 0, amount(800, 0)), Err(Short::Ever));
    // Half of the dispatchers' part, then the whole: what was used stays used.
    book.open(noon, 1, &plan, 0.5, class);
    assert_eq!(book.left(noon, 1).period, Some(0));
    book.open(noon, 1, &plan, 1.0, class);
    assert_eq!(book.left(noon, 1).period, Some(1000));
}

#[test]
fn accounts_of_ten_thousand_tenants_do_not_touch_each_other() {
    let mut book = Book::default();
    (0..10_000).for_each(|t| book.open(0.0, t, &budget(10.0, 100.0), 1.0, class));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(4);
    let (mut hot, mut others) = (0, 0);
    for i in 0..50_000u32 {
        let now = f64::from(i) / 5000.0;
        let tenant = if rng.next_u64() % 2 == 0 {
            7
        } else {
            (rng.next_u64() % 10_000) as u32
        };
        if let Ok(hold) = book.hold(now, tenant, 0, amount(4, 4)) {
            book.settle(hold, amount(4, 4));
            if tenant == 7 {
                hot += 1;
            } else {
                others += 1;
            }
        }
    }
    assert!(
        (24..=25).contains(&hot),
        "{hot}: a burst of 100 and 10 s at 10, by eights"
    );
    assert!(others > 24_000, "{others} of some 25,000");
}

fn entry(response: &str, number: u32, used: Used) -> Entry {
    Entry {
        response: response.into(),
        number,
        tenant: "bands".into(),
        class: "query".into(),
        owner: String::new(),
        key: String::new(),
        taken_us: 5,
        used,
    }
}

#[test]
fn a_bill_is_the_same_however_often_and_in_which_order_entries_come() {
    let all = [
        entry("r1", 1, Used::Known(amount(100, 20))),
        entry("r2", 1, Used::Possibly(amount(300, 200))),
        entry("r2", 2, Used::Known(amount(310, 90))),
        entry("r3", 1, Used::Possibly(amount(7, 8))),
    ];
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(9);
    for _ in 0..200 {
        let mut entries = Entries::default();
        for _ in 0..30 {
            entries.offer(all[(rng.next_u64() % 4) as usize].clone());
        }
        for entry in all.iter().rev() {
            entries.offer(entry.clone());
        }
        let bill = entries.bill(0, 10);
        let line = bill[&("bands".to_string(), "query".to_string())];
        assert_eq!((line.requests, line.prompt, line.output), (2, 410, 110));
        assert_eq!((line.possibly, line.possibly_tokens), (1, 15));
        assert!(entries.bill(0, 5).is_empty(), "another period's");
        assert_eq!(
            entries.offer(entry("r1", 1, Used::Known(amount(1, 1)))),
            Offered::Contradicts
        );
        assert_eq!(entries.bill(0, 10), bill, "the first stands");
    }
}

#[test]
fn plans_that_cannot_be_are_named() {
    let fault = |plan: &Budget| plan.check(|c| class(c).is_some()).expect_err("refused").0;
    assert_eq!(fault(&budget(0.0, 10.0)), "rate.tokens_per_s");
    assert_eq!(fault(&budget(f64::NAN, 10.0)), "rate.tokens_per_s");
    assert_eq!(fault(&budget(1.0, 0.0)), "rate.burst_tokens");
    let mut plan = budget(1.0, 1.0);
    plan.period = Some(Period {
        tokens: 1,
        per: Per::Day,
        zone: "Mars/Olympus".into(),
    });
    assert_eq!(fault(&plan), "period.zone");
    plan.period = None;
    plan.reserve.insert("nothing".into(), 0.1);
    assert_eq!(fault(&plan), "reserve");
    plan.reserve = [("query".to_string(), 0.6), ("booking".to_string(), 0.6)].into();
    assert_eq!(fault(&plan), "reserve");
}
