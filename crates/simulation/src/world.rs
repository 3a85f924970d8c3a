//! Machines stepped over a network in order of time.

use std::time::Duration;

use crate::Network;

/// What a machine wants sent: to whom, and what.
pub type Sent<M> = Vec<(usize, M)>;

/// A machine at a place. What it does beyond sending it keeps for whoever looks.
pub trait Node {
    type Message: Clone;

    /// When it wants to be woken, by its own clock.
    fn wake_at(&self) -> Option<Duration>;
    /// Does what is due.
    fn wake(&mut self, now: Duration, out: &mut Sent<Self::Message>);
    /// Takes a message.
    fn take(
        &mut self,
        now: Duration,
        from: usize,
        message: Self::Message,
        out: &mut Sent<Self::Message>,
    );
}

/// One place: the process there, if there is one, and its clock.
pub struct Place<N: Node> {
    pub node: Option<N>,
    pub paused: bool,
    /// How far its clock is ahead of the world's.
    pub ahead: Duration,
    inbox: Vec<(usize, N::Message)>,
}

/// Machines, and what is under way between them.
pub struct World<N: Node> {
    pub net: Network<N::Message>,
    pub places: Vec<Place<N>>,
}

impl<N: Node> World<N> {
    /// So many empty places.
    pub fn new(of: usize, seed: u64) -> World<N> {
        let place = || Place {
            node: None,
            paused: false,
            ahead: Duration::ZERO,
            inbox: vec![],
        };
        World {
            net: Network::new(seed),
            places: (0..of).map(|_| place()).collect(),
        }
    }

    pub fn now(&self) -> Duration {
        self.net.now
    }

    /// The time by a place's own clock.
    pub fn now_at(&self, i: usize) -> Duration {
        self.net.now + self.places[i].ahead
    }

    /// Starts a process at a place, with nothing of the last one.
    pub fn start(&mut self, i: usize, node: N) {
        let ahead = self.places[i].ahead;
        self.places[i] = Place {
            node: Some(node),
            paused: false,
            ahead,
            inbox: vec![],
        };
    }

    /// Ends a process between two instructions; gives what is left of it, as a disk would.
    pub fn kill(&mut self, i: usize) -> Option<N> {
        self.places[i].inbox.clear();
        self.places[i].paused = false;
        self.places[i].node.take()
    }

    pub fn pause(&mut self, i: usize) {
        self.places[i].paused = true;
    }

    /// Lets a paused process go on; it hears what waited for it.
    pub fn go_on(&mut self, i: usize) {
        self.places[i].paused = false;
        for (from, message) in std::mem::take(&mut self.places[i].inbox) {
            self.deliver(from, i, message);
        }
    }

    /// Does something with a process that is there and not paused, and carries out what it sends.
    pub fn act<T>(
        &mut self,
        i: usize,
        act: impl FnOnce(&mut N, Duration, &mut Sent<N::Message>) -> T,
    ) -> Option<T> {
        let (now, place) = (self.now_at(i), &mut self.places[i]);
        let node = place.node.as_mut().filter(|_| !place.paused)?;
        let mut out = Vec::new();
        let done = act(node, now, &mut out);
        out.into_iter()
            .for_each(|(to, message)| self.net.send(i, to, message));
        Some(done)
    }

    fn deliver(&mut self, from: usize, to: usize, message: N::Message) {
        let place = &mut self.places[to];
        if place.node.is_some() && place.paused {
            return place.inbox.push((from, message));
        }
        self.act(to, |node, now, out| node.take(now, from, message, out));
    }

    /// The first place that wants to be woken, and when by the world's clock.
    fn next_timer(&self) -> Option<(Duration, usize)> {
        let awake = self.places.iter().enumerate().filter(|(_, p)| !p.paused);
        let timers = awake.filter_map(|(i, p)| {
            Some((
                p.node
                    .as_ref()?
                    .wake_at()?
                    .saturating_sub(p.ahead)
                    .max(self.net.now),
                i,
            ))
        });
        timers.min()
    }

    /// Lets time pass.
    pub fn run(&mut self, until: Duration) {
        loop {
            let (message, timer) = (self.net.next_at(), self.next_timer());
            let next = [message, timer.map(|t| t.0)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= until) else {
                break;
            };
            self.net.now = self.net.now.max(next);
            if message == Some(next) {
                if let Some((from, to, message)) = self.net.arrive() {
                    self.deliver(from, to, message);
                }
            } else if let Some((_, i)) = timer {
                self.act(i, |node, now, out| node.wake(now, out));
            }
        }
        self.net.now = until;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ms;

    /// Says a number to the next place each 10 ms, and counts what it hears.
    struct Counter {
        at: Duration,
        heard: Vec<u32>,
    }

    impl Node for Counter {
        type Message = u32;

        fn wake_at(&self) -> Option<Duration> {
            Some(self.at)
        }

        fn wake(&mut self, now: Duration, out: &mut Sent<u32>) {
            self.at = now + ms(10);
            out.push((1, now.as_millis() as u32));
        }

        fn take(&mut self, _: Duration, _: usize, message: u32, _: &mut Sent<u32>) {
            self.heard.push(message);
        }
    }

    fn two() -> World<Counter> {
        let mut world = World::new(2, 1);
        world.places[1].ahead = ms(5000);
        for i in 0..2 {
            let at = if i == 0 { ms(10) } else { ms(99_000) };
            world.start(i, Counter { at, heard: vec![] });
        }
        world
    }

    fn heard(world: &World<Counter>) -> usize {
        world.places[1].node.as_ref().map_or(0, |n| n.heard.len())
    }

    #[test]
    fn what_waits_for_a_paused_process_is_heard_when_it_goes_on_and_a_killed_one_hears_nothing() {
        let mut world = two();
        world.run(ms(100));
        assert_eq!(heard(&world), 9);
        world.pause(1);
        world.run(ms(200));
        assert_eq!(heard(&world), 9);
        world.go_on(1);
        assert_eq!(heard(&world), 19);
        assert!(world.kill(1).is_some());
        world.run(ms(300));
        assert_eq!(heard(&world), 0);
    }

    #[test]
    fn a_cut_stops_what_is_sent_after_it_and_loss_and_doubles_are_drawn() {
        let mut world = two();
        world.net.passes = Box::new(|_, _| false);
        world.run(ms(100));
        assert_eq!(heard(&world), 0);
        world.net.passes = Box::new(|_, _| true);
        (world.net.loss, world.net.twice) = (0.0, 1.0);
        world.run(ms(203));
        assert!(heard(&world) >= 18);
    }
}
