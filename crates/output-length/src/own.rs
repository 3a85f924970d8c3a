//! Counts the responses that this process observes into windows, by cell (model, request class and range of prompt lengths). A
//! window holds the counts of a short period. Each cell has one open window, of which each tenant may fill only a limited share.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Cell, Origin, TenantKey, WindowNumber};
use crate::windows::{Window, WindowStore, MAX_CELLS, MAX_WINDOW_RESPONSES};

/// Time since a window was opened after which the window is closed if it has at least [`CLOSE_MIN_RESPONSES`].
const CLOSE_AGE: Duration = Duration::from_secs(10);
/// Number of responses from which a window is closed at [`CLOSE_AGE`].
const CLOSE_MIN_RESPONSES: u32 = 32;
/// Time since a window was opened after which the window is closed however few responses it has. A window is closed when the next
/// response of the cell ends.
const MAX_OPEN_AGE: Duration = Duration::from_secs(120);
/// Time without responses after which a cell's open window may be removed to make room for other cells.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1800);
/// Number of slots among which tenants are distributed in a window; tenants in the same slot share one limit.
const TENANT_SLOTS: usize = 32;
/// Limit of a tenant slot's share of the responses in a window, as a multiple of the even share, which is one divided by the number
/// of slots in use. One response is allowed beyond the limit.
const MAX_SHARE_RATIO: f64 = 1.25;
/// Lower limit of the even share, which is one divided by the number of tenant slots in use in a window.
const MIN_EVEN_SHARE: f64 = 1.0 / 16.0;

/// The open window of a cell.
#[derive(Clone, Debug)]
struct OpenWindow {
    number: WindowNumber,
    opened: Duration,
    /// When a response of the cell last ended, whether counted or not.
    last_end: Duration,
    /// Number of counted responses by tenant slot.
    slots: [u16; TENANT_SLOTS],
    /// Number of slots in use in the cell's previous window.
    previous_slots: usize,
}

impl OpenWindow {
    fn used_slots(&self) -> usize {
        self.slots.iter().filter(|n| **n > 0).count()
    }

    /// Whether the tenant's next response is counted; if so, adds it to the tenant's slot. The limit keeps a tenant with many
    /// requests from dominating the estimates for the other tenants.
    fn admit(&mut self, tenant: TenantKey) -> bool {
        let at = tenant.0 as usize % TENANT_SLOTS;
        let total: u32 = self.slots.iter().map(|n| u32::from(*n)).sum();
        let used = self.used_slots() + usize::from(self.slots[at] == 0);
        let share =
            MAX_SHARE_RATIO * (1.0 / used.max(self.previous_slots) as f64).max(MIN_EVEN_SHARE);
        let admitted = f64::from(self.slots[at]) <= share * f64::from(total + 1);
        self.slots[at] = self.slots[at].saturating_add(u16::from(admitted));
        admitted
    }
}

/// The window in which a response was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Counted {
    pub cell: Cell,
    pub number: WindowNumber,
}

/// The open windows of this process, by cell.
#[derive(Clone, Debug)]
pub(crate) struct LocalWindows {
    pub origin: Origin,
    open: BTreeMap<Cell, OpenWindow>,
}

impl LocalWindows {
    pub fn new(origin: Origin) -> LocalWindows {
        LocalWindows {
            origin,
            open: BTreeMap::new(),
        }
    }

    /// Counts a response in its cell's open window, after replacing a window that is to be closed. `tokens` is the length of
    /// the response if `complete`, otherwise a lower bound of that length. Returns `None` if the
    /// tenant has reached its share of the window.
    pub fn count(
        &mut self,
        now: Duration,
        cell: Cell,
        tenant: TenantKey,
        (tokens, complete): (u32, bool),
        windows: &mut WindowStore,
    ) -> Option<Counted> {
        let room = self.open.contains_key(&cell) || self.make_room(now);
        // Without room for its cell, the response is counted in a fallback cell, which enters only the estimate of all requests.
        let cell = if room { cell } else { Cell::default() };
        let new_window = |number, previous_slots| OpenWindow {
            number,
            opened: now,
            last_end: now,
            slots: [0; TENANT_SLOTS],
            previous_slots,
        };
        let open = self
            .open
            .entry(cell)
            .or_insert_with(|| new_window(WindowNumber(1), 0));
        let responses = windows
            .get(&cell, self.origin, open.number)
            .map_or(0, Window::responses);
        let age = now.saturating_sub(open.opened);
        let is_closed = responses >= MAX_WINDOW_RESPONSES
            || age >= CLOSE_AGE && responses >= CLOSE_MIN_RESPONSES
            || age >= MAX_OPEN_AGE;
        if is_closed && responses > 0 {
            *open = new_window(
                WindowNumber(open.number.0.saturating_add(1)),
                open.used_slots(),
            );
        }
        open.last_end = now;
        if !open.admit(tenant) {
            return None;
        }
        let stored = windows.get(&cell, self.origin, open.number);
        let mut window = stored.cloned().unwrap_or_else(|| Window {
            first_end: now,
            ..Window::default()
        });
        if complete {
            window.complete.add(tokens);
        } else {
            window.censored.add(tokens);
        }
        window.last_end = now;
        windows
            .merge_own(cell, self.origin, open.number, window)
            .then_some(Counted {
                cell,
                number: open.number,
            })
    }

    /// Whether a new cell may get an open window, after removing idle ones if the limit is reached.
    fn make_room(&mut self, now: Duration) -> bool {
        // Leaves room for the fallback cell. Half the limit, so that the cells of two processes at their limits fit within the
        // limit for cells of peers.
        let max_open = MAX_CELLS / 2 - 1;
        if self.open.len() >= max_open {
            self.open
                .retain(|_, open| now.saturating_sub(open.last_end) < IDLE_TIMEOUT);
        }
        self.open.len() < max_open
    }

    /// Replaces a cell's open window by a new one, after a change of its length distribution was detected.
    pub fn start_new_window(&mut self, cell: &Cell, now: Duration) {
        if let Some(open) = self.open.get_mut(cell) {
            let previous_slots = open.used_slots();
            let number = WindowNumber(open.number.0.saturating_add(1));
            *open = OpenWindow {
                number,
                opened: now,
                last_end: open.last_end,
                slots: [0; TENANT_SLOTS],
                previous_slots,
            };
        }
    }
}
