//! State machines stepped over a simulated network in order of time.

use std::time::Duration;

use crate::Network;

/// Messages that a machine sends, each with its destination place.
pub type Sent<M> = Vec<(usize, M)>;

/// State machine of a simulated process. Its only outputs through this trait are messages; other results are kept in the
/// machine, where a test can inspect them.
pub trait Node {
    /// Message type exchanged between the machines of a world.
    type Message: Clone;

    /// Time of the machine's next timer by its local clock, if a timer is set.
    fn wake_at(&self) -> Option<Duration>;
    /// Handles the timers that are due at `now`, a time by the machine's local clock.
    fn wake(&mut self, now: Duration, out: &mut Sent<Self::Message>);
    /// Handles a message that is delivered at `now`, a time by the machine's local clock.
    fn take(
        &mut self,
        now: Duration,
        from: usize,
        message: Self::Message,
        out: &mut Sent<Self::Message>,
    );
}

/// One place in the world: its process, if one is running, and its local clock.
pub struct Place<N: Node> {
    pub node: Option<N>,
    pub paused: bool,
    /// Offset by which the local clock of this place is ahead of simulated time.
    pub ahead: Duration,
    /// Messages that arrived while the process was paused, each with its sender.
    inbox: Vec<(usize, N::Message)>,
}

/// State machines and the network between them.
pub struct World<N: Node> {
    pub net: Network<N::Message>,
    pub places: Vec<Place<N>>,
}

impl<N: Node> World<N> {
    /// Creates a world of `of` places without processes. The seed determines delays, losses and duplicates.
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

    /// Simulated time since the start of the run.
    pub fn now(&self) -> Duration {
        self.net.now
    }

    /// Time by the local clock of a place.
    pub fn now_at(&self, i: usize) -> Duration {
        self.net.now + self.places[i].ahead
    }

    /// Starts a process at a place and discards the previous process and its inbox; the clock offset of the place remains.
    pub fn start(&mut self, i: usize, node: N) {
        let ahead = self.places[i].ahead;
        self.places[i] = Place {
            node: Some(node),
            paused: false,
            ahead,
            inbox: vec![],
        };
    }

    /// Kills a process between two steps and returns its state machine, from which a test can take the state that would have
    /// been on disk.
    pub fn kill(&mut self, i: usize) -> Option<N> {
        self.places[i].inbox.clear();
        self.places[i].paused = false;
        self.places[i].node.take()
    }

    /// Pauses a process: its timers do not fire, and messages for it collect in its inbox.
    pub fn pause(&mut self, i: usize) {
        self.places[i].paused = true;
    }

    /// Resumes a paused process and delivers the messages in its inbox.
    pub fn go_on(&mut self, i: usize) {
        self.places[i].paused = false;
        for (from, message) in std::mem::take(&mut self.places[i].inbox) {
            self.deliver(from, i, message);
        }
    }

    /// Calls a function on the process at a place, if one is running and not paused, and sends the messages that the function
    /// produces.
    pub fn act<T>(
        &mut self,
        i: usize,
        act: impl FnOnce(&mut N, Duration, &mut Sent<N::Message>) -> T,
    ) -> Option<T> {
        let (now, place) = (self.now_at(i), &mut self.places[i]);
        let node = place.node.as_mut().filter(|_| !place.paused)?;
        let mut out = Vec::new();
        let result = act(node, now, &mut out);
        out.into_iter()
            .for_each(|(to, message)| self.net.send(i, to, message));
        Some(result)
    }

    fn deliver(&mut self, from: usize, to: usize, message: N::Message) {
        let place = &mut self.places[to];
        if place.node.is_some() && place.paused {
            return place.inbox.push((from, message));
        }
        self.act(to, |node, now, out| node.take(now, from, message, out));
    }

    /// The earliest timer of all running, unpaused processes: its simulated time and its place.
    fn next_timer(&self) -> Option<(Duration, usize)> {
        let unpaused = self.places.iter().enumerate().filter(|(_, p)| !p.paused);
        let timers = unpaused.filter_map(|(i, p)| {
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

    /// Advances simulated time to `until`, delivering messages and firing timers in order of time. A message goes before a timer
    /// that is due at the same time.
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

    /// Sends a number to place 1 every 10 ms and records the numbers it receives.
    struct Counter {
        at: Duration,
        received: Vec<u32>,
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
            self.received.push(message);
        }
    }

    fn two_counters() -> World<Counter> {
        let mut world = World::new(2, 1);
        world.places[1].ahead = ms(5000);
        for i in 0..2 {
            let at = if i == 0 { ms(10) } else { ms(99_000) };
            world.start(
                i,
                Counter {
                    at,
                    received: vec![],
                },
            );
        }
        world
    }

    fn received_count(world: &World<Counter>) -> usize {
        world.places[1]
            .node
            .as_ref()
            .map_or(0, |n| n.received.len())
    }

    #[test]
    fn paused_process_receives_pending_messages_on_resume_and_killed_process_receives_none() {
        let mut world = two_counters();
        world.run(ms(100));
        assert_eq!(received_count(&world), 9);
        world.pause(1);
        world.run(ms(200));
        assert_eq!(received_count(&world), 9);
        world.go_on(1);
        assert_eq!(received_count(&world), 19);
        assert!(world.kill(1).is_some());
        world.run(ms(300));
        assert_eq!(received_count(&world), 0);
    }

    #[test]
    fn partition_drops_later_messages_and_duplicates_are_delivered() {
        let mut world = two_counters();
        world.net.passes = Box::new(|_, _| false);
        world.run(ms(100));
        assert_eq!(received_count(&world), 0);
        world.net.passes = Box::new(|_, _| true);
        (world.net.loss, world.net.twice) = (0.0, 1.0);
        world.run(ms(203));
        assert!(received_count(&world) >= 18);
    }
}
