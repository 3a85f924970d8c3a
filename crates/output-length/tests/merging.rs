//! Tests of merging copies of windows that are received in any order, lost or repeated: the stored windows converge, and no
//! response is counted twice.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_output_length::*;
use proptest::prelude::*;

/// The versions of a window as it grows by one response at a time.
fn versions(lengths: &[u32], censored: &[bool]) -> Vec<Window> {
    let mut window = Window::default();
    lengths
        .iter()
        .zip(censored)
        .enumerate()
        .map(|(i, (tokens, censored))| {
            let counts = if *censored {
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
    fn merging_converges_whatever_the_order_loss_and_repetition_of_copies(
        generated in prop::collection::vec(
            (prop::collection::vec((0u32..5000, any::<bool>()), 1..40), 0u32..3, 0usize..4, 1u32..4), 1..12),
        order in prop::collection::vec((0usize..1000, 0usize..1000), 0..200),
    ) {
        let mut windows = vec![];
        for (i, (responses, class, of, number)) in generated.iter().enumerate() {
            // An origin uses the number of a window in a cell only once.
            let number = WindowNumber(number + 4 * (i as u32 % 2));
            let cell = Cell::of(ModelKey(1), ClassKey(1 + class), 100);
            let lengths: Vec<u32> = responses.iter().map(|r| r.0).collect();
            let censored: Vec<bool> = responses.iter().map(|r| r.1).collect();
            if windows.iter().all(|(c, o, n, _)| (*c, *o, *n) != (cell, origin(*of), number)) {
                windows.push((cell, origin(*of), number, versions(&lengths, &censored)));
            }
        }
        let mut expected = WindowStore::default();
        for (cell, origin, number, versions) in &windows {
            expected.merge(*cell, *origin, *number, versions.last().unwrap().clone());
        }
        let mut merged = WindowStore::default();
        for (window, version) in &order {
            let (cell, origin, number, versions) = &windows[window % windows.len()];
            merged.merge(*cell, *origin, *number, versions[version % versions.len()].clone());
        }
        // The final versions are all received in the end, as by the reply to a state request.
        for (cell, origin, number, versions) in windows.iter().rev() {
            merged.merge(*cell, *origin, *number, versions.last().unwrap().clone());
            let is_newer = merged.merge(*cell, *origin, *number, versions[0].clone());
            prop_assert!(!is_newer, "an earlier copy changes nothing");
        }
        prop_assert_eq!(&merged, &expected);
        let sum: usize = windows.iter().map(|w| w.3.len()).sum();
        prop_assert_eq!(merged.responses(), sum as u64);
    }

    #[test]
    fn stored_windows_and_cells_are_bounded_whatever_peers_send(
        received in prop::collection::vec((0u32..2000, 0u64..400, 0u32..100, 0u32..4000), 0..600),
    ) {
        let mut windows = WindowStore::default();
        for (class, incarnation, number, tokens) in received {
            let cell = Cell::of(ModelKey(1), ClassKey(class), tokens);
            let origin = Origin { member: NameKey(3), incarnation };
            windows.merge(cell, origin, WindowNumber(number), versions(&[tokens], &[false]).remove(0));
        }
        prop_assert!(windows.len() <= MAX_WINDOWS);
        prop_assert!(windows.all().map(|w| w.0).collect::<std::collections::BTreeSet<_>>().len() <= MAX_CELLS);
    }
}

#[test]
fn oldest_windows_are_dropped_beyond_the_limit() {
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
