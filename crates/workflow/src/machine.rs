//! The machine beside the plane: the desk, and the replica that it stands on.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::{NameKey, Topic};
use bitternlatch_quota_lease::{ClusterService, Process, ServiceInput, ServiceOutput};
use bitternlatch_replicated_register::{Input, Output, RegisterKey, Replica, Version};

use crate::coordinator::{Coordinator, CoordinatorOutput};
use crate::io::{Command, Event, Settings};
use crate::record::{Record, SafetyChecks};

/// Copies of a workflow.
const REPLICAS: usize = 3;
/// How often this member's copies are looked at, and how many at a time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
const MAX_SWEEP_RECORDS: usize = 256;

/// Workflows at one dispatcher.
pub struct Workflows {
    coordinator: Coordinator,
    replica: Replica,
    /// The last copy that was looked at, and when the next ones are.
    swept: Option<RegisterKey>,
    sweep_at: Duration,
    out: Vec<CoordinatorOutput>,
    done: Vec<Output>,
}

impl Workflows {
    /// `roster`: all dispatchers, this one among them. `durable`: whether [`ServiceOutput::Persist`] reaches a disk.
    pub fn new(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: &Settings,
        durable: bool,
        seed: u64,
        now: Duration,
    ) -> Workflows {
        Workflows::with_safety_checks(
            own,
            roster,
            settings,
            durable,
            seed,
            now,
            SafetyChecks::AS_BUILT,
        )
    }

    /// With some of the rules left out, to show what they are for.
    #[doc(hidden)]
    pub fn with_safety_checks(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: &Settings,
        durable: bool,
        seed: u64,
        now: Duration,
        safety_checks: SafetyChecks,
    ) -> Workflows {
        let below = bitternlatch_replicated_register::Settings {
            replicas: REPLICAS,
            durable,
        };
        Workflows {
            coordinator: Coordinator::new(own, settings, safety_checks),
            replica: Replica::new(own, roster, below, seed, now),
            swept: None,
            sweep_at: now + SWEEP_INTERVAL,
            out: vec![],
            done: vec![],
        }
    }

    /// Looks at some of the copies held here: their leases are watched from now on, and what has not been written for as long
    /// as it may last goes to its end.
    fn sweep(&mut self, now: Duration) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP_INTERVAL;
        let after = self.swept.take();
        let held = self
            .replica
            .held()
            .filter(|(key, ..)| after.is_none_or(|last| **key > last));
        let some: Vec<(RegisterKey, Version, Vec<u8>)> = held
            .take(MAX_SWEEP_RECORDS)
            .map(|(key, version, value)| (*key, version, value.to_vec()))
            .collect();
        if some.len() == MAX_SWEEP_RECORDS {
            self.swept = some.last().map(|(key, ..)| *key);
        }
        for (key, version, value) in some {
            // One that cannot be read is named when somebody asks for it.
            let Ok(record) = Record::decode(&value) else {
                continue;
            };
            self.coordinator
                .lease_observer
                .observe(now, key, version, &record);
            let unchanged = self.coordinator.lease_observer.unchanged(now, key, version);
            if self.coordinator.stale(&record, unchanged) {
                self.coordinator.sweep(now, key, &record, &mut self.out);
            }
        }
    }

    /// Carries words between desk and replica until both are still.
    fn settle(&mut self, now: Duration, first: Option<Input>, out: &mut Vec<ServiceOutput<Event>>) {
        let mut inputs: VecDeque<Input> = first.into_iter().collect();
        loop {
            for wanted in self.out.drain(..) {
                match wanted {
                    CoordinatorOutput::Register(input) => inputs.push_back(input),
                    CoordinatorOutput::Event(told) => out.push(ServiceOutput::Event(told)),
                    CoordinatorOutput::Log { warn, text } => {
                        out.push(ServiceOutput::Log { warn, text })
                    }
                }
            }
            let Some(input) = inputs.pop_front() else {
                return;
            };
            self.replica.step(now, input, &mut self.done);
            for done in self.done.drain(..) {
                match done {
                    Output::Send(to, said) => out.push(ServiceOutput::SendFrame(to, said)),
                    Output::Store {
                        ticket,
                        name,
                        bytes,
                    } => out.push(ServiceOutput::Persist {
                        ticket,
                        name,
                        bytes,
                    }),
                    Output::Read { call, found } => {
                        self.coordinator.found(now, call, found, &mut self.out)
                    }
                    Output::Written { call, done } => {
                        self.coordinator.written(now, call, done, &mut self.out)
                    }
                    Output::Event(event) => {
                        let text = format!("workflows' copies: {event}; {}", event.advice());
                        out.push(ServiceOutput::Log {
                            warn: event.warn(),
                            text,
                        });
                    }
                }
            }
        }
    }
}

impl ClusterService for Workflows {
    const TOPIC: Topic = Topic::Workflows;
    type Request = Command;
    type Event = Event;

    fn wake_at(&self) -> Option<Duration> {
        let due = [
            self.coordinator.wake_at(),
            self.replica.wake_at(),
            Some(self.sweep_at),
        ];
        due.into_iter().flatten().min()
    }

    fn step(
        &mut self,
        now: Duration,
        given: ServiceInput<Command>,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        // What is due is done first, so that nothing that waited is taken for in time after a pause.
        self.coordinator.wake(now, &mut self.out);
        self.sweep(now);
        self.settle(now, None, out);
        let input = match given {
            ServiceInput::Wake => Input::Wake,
            ServiceInput::Frame {
                from,
                payload: said,
            } => Input::Frame {
                from,
                payload: said,
            },
            ServiceInput::Peers(peers) => Input::Peers(peers),
            ServiceInput::Loaded(found) => Input::Loaded(found),
            ServiceInput::Persisted { ticket, done } => Input::Stored { ticket, done },
            ServiceInput::Request(ask) => {
                self.coordinator.ask(now, ask, &mut self.out);
                return self.settle(now, None, out);
            }
            ServiceInput::Datagram { .. } | ServiceInput::Leave => return,
        };
        self.settle(now, Some(input), out);
    }
}
