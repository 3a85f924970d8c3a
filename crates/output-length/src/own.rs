//! What this process counts itself: one open window a cell, and each tenant's part of it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Cell, Number, Origin, TenantKey};
use crate::windows::{Window, Windows, ANSWERS_MOST, CELLS_MOST};

/// A window is closed once it is full, or old enough with enough in it, or old.
const ENOUGH: (Duration, u32) = (Duration::from_secs(10), 32);
const OLD: Duration = Duration::from_secs(120);
/// A cell without answers for so long makes room for others.
const IDLE: Duration = Duration::from_secs(1800);
/// Tenants told apart in a window; more share places by chance, and with it a part.
const TENANTS: usize = 32;
/// A tenant's part of a window: this multiple of an even one, an even one being a sixteenth at the least; and one answer.
const PART: f64 = 1.25;
const EVEN: f64 = 1.0 / 16.0;

#[derive(Clone, Debug)]
struct Open {
    number: Number,
    begun: Duration,
    last: Duration,
    tenants: [u16; TENANTS],
    /// Tenants seen in the window before.
    before: usize,
}

impl Open {
    fn seen(&self) -> usize {
        self.tenants.iter().filter(|n| **n > 0).count()
    }

    /// Whether a tenant's next answer counts. One that floods a cell moves the others' estimates within its part only.
    fn admits(&mut self, tenant: TenantKey) -> bool {
        let at = tenant.0 as usize % TENANTS;
        let total: u32 = self.tenants.iter().map(|n| u32::from(*n)).sum();
        let others = self.seen() + usize::from(self.tenants[at] == 0);
        let part = PART * (1.0 / others.max(self.before) as f64).max(EVEN);
        let counts = f64::from(self.tenants[at]) <= part * f64::from(total + 1);
        self.tenants[at] = self.tenants[at].saturating_add(u16::from(counts));
        counts
    }
}

/// Where an answer was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Counted {
    pub cell: Cell,
    pub number: Number,
}

#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub origin: Origin,
    open: BTreeMap<Cell, Open>,
}

impl Own {
    pub fn new(origin: Origin) -> Own {
        Own {
            origin,
            open: BTreeMap::new(),
        }
    }

    /// Counts an answer of so many tokens, or at least so many where it was cut short; none where its tenant has its part.
    pub fn count(
        &mut self,
        now: Duration,
        cell: Cell,
        tenant: TenantKey,
        (tokens, whole): (u32, bool),
        windows: &mut Windows,
    ) -> Option<Counted> {
        let room = self.open.contains_key(&cell) || self.make_room(now);
        // What there is no room for is still told apart from nothing: it counts among all.
        let cell = if room { cell } else { Cell::default() };
        let fresh = |number, before| Open {
            number,
            begun: now,
            last: now,
            tenants: [0; TENANTS],
            before,
        };
        let open = self.open.entry(cell).or_insert_with(|| fresh(Number(1), 0));
        let answers = windows
            .get(&cell, self.origin, open.number)
            .map_or(0, Window::answers);
        let age = now.saturating_sub(open.begun);
        let full = answers >= ANSWERS_MOST || age >= ENOUGH.0 && answers >= ENOUGH.1 || age >= OLD;
        if full && answers > 0 {
            *open = fresh(Number(open.number.0.saturating_add(1)), open.seen());
        }
        open.last = now;
        if !open.admits(tenant) {
            return None;
        }
        let known = windows.get(&cell, self.origin, open.number);
        let mut window = known.cloned().unwrap_or_else(|| Window {
            begun: now,
            ..Window::default()
        });
        if whole {
            window.ended.add(tokens);
        } else {
            window.cut.add(tokens);
        }
        window.last = now;
        windows
            .merge_own(cell, self.origin, open.number, window)
            .then_some(Counted {
                cell,
                number: open.number,
            })
    }

    fn make_room(&mut self, now: Duration) -> bool {
        // The cell for all that find none is one of them, so that two whose cells are all taken fit beside each other.
        let most = CELLS_MOST / 2 - 1;
        if self.open.len() >= most {
            self.open
                .retain(|_, open| now.saturating_sub(open.last) < IDLE);
        }
        self.open.len() < most
    }

    /// Begins a window anew, as what a cell's open one holds is no longer true.
    pub fn begin_anew(&mut self, cell: &Cell, now: Duration) {
        if let Some(open) = self.open.get_mut(cell) {
            let before = open.seen();
            let number = Number(open.number.0.saturating_add(1));
            *open = Open {
                number,
                begun: now,
                last: open.last,
                tenants: [0; TENANTS],
                before,
            };
        }
    }
}
