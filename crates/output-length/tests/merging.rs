//! Windows of several origins, told in any order, lost, repeated: the same is known, and nothing twice.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_output_length::*;
use proptest::prelude::*;

/// One window as it grows: each version holds all of the one before.
fn versions(lengths: &[u32], cut: &[bool]) -> Vec<Window> {
    let mut window = Window::default();
    lengths
        .iter()
        .zip(cut)
        .enumerate()
        .map(|(i, (tokens, cut))| {
            let counts = if *cut {
                &mut window.censored
            } else {
                &mut window.complete
            };
            counts.add(*tokens);
            (window.first_end, window.last_end) =
                (Duration::from_secs(1), Duration::from_secs(1 + i as u64));
            window.clone()
        })
        .collect()
}

fn origin(i: usize) -> Origin {
    Origin {
        member: NameKey(i as u32 / 2),
        incarnation: i as u64 % 2,
    }
}

proptest! {
    #[test]
    fn any_order_with_loss_and_repetition_leads_to_the_same(
        told in prop::collection::vec(
            (prop::collection::vec((0u32..5000, any::<bool>()), 1..40), 0u32..3, 0usize..4, 1u32..4), 1..12),
        order in prop::collection::vec((0usize..1000, 0usize..1000), 0..200),
    ) {
        let mut windows = vec![];
        for (i, (answers, class, of, number)) in told.iter().enumerate() {
            // Numbers of one origin and cell are never used twice.
            let number = WindowNumber(number + 4 * (i as u32 % 2));
            let cell = Cell::of(ModelKey(1), ClassKey(1 + class), 100);
            let lengths: Vec<u32> = answers.iter().map(|a| a.0).collect();
            let cut: Vec<bool> = answers.iter().map(|a| a.1).collect();
            if windows.iter().all(|(c, o, n, _)| (*c, *o, *n) != (cell, origin(*of), number)) {
                windows.push((cell, origin(*of), number, versions(&lengths, &cut)));
            }
        }
        let mut whole = WindowStore::default();
        for (cell, origin, number, versions) in &windows {
            whole.merge(*cell, *origin, *number, versions.last().unwrap().clone());
        }
        let mut told = WindowStore::default();
        for (window, version) in &order {
            let (cell, origin, number, versions) = &windows[window % windows.len()];
            told.merge(*cell, *origin, *number, versions[version % versions.len()].clone());
        }
        // What was lost is told once more in the end, as whole states are.
        for (cell, origin, number, versions) in windows.iter().rev() {
            told.merge(*cell, *origin, *number, versions.last().unwrap().clone());
            let again = told.merge(*cell, *origin, *number, versions[0].clone());
            prop_assert!(!again, "an earlier copy brings nothing");
        }
        prop_assert_eq!(&told, &whole);
        let sum: usize = windows.iter().map(|w| w.3.len()).sum();
        prop_assert_eq!(told.responses(), sum as u64);
    }

    #[test]
    fn what_peers_say_is_bounded_whatever_it_is(
        said in prop::collection::vec((0u32..2000, 0u64..400, 0u32..100, 0u32..4000), 0..600),
    ) {
        let mut windows = WindowStore::default();
        for (class, incarnation, number, tokens) in said {
            let cell = Cell::of(ModelKey(1), ClassKey(class), tokens);
            let origin = Origin { member: NameKey(3), incarnation };
            windows.merge(cell, origin, WindowNumber(number), versions(&[tokens], &[false]).remove(0));
        }
        prop_assert!(windows.len() <= MAX_WINDOWS);
        prop_assert!(windows.all().map(|w| w.0).collect::<std::collections::BTreeSet<_>>().len() <= MAX_CELLS);
    }
}

#[test]
fn past_its_bound_the_oldest_windows_go() {
    let mut windows = WindowStore::default();
    for i in 0..MAX_WINDOWS as u64 + 10 {
        let mut window = versions(&[5], &[false]).remove(0);
        window.last_end = Duration::from_secs(i);
        let origin = Origin {
            member: NameKey(1),
            incarnation: i,
        };
        windows.merge(
            Cell::of(ModelKey(1), ClassKey(1), 9),
            origin,
            WindowNumber(1),
            window,
        );
    }
    assert!(windows.len() <= MAX_WINDOWS && windows.len() > MAX_WINDOWS / 2);
    let oldest = windows.all().map(|w| w.3.last_end).min();
    assert!(oldest > Some(Duration::from_secs(500)), "{oldest:?}");
}
