//! Discovery: the watch is kept open, and the lists that it brings are given to the decision module.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, ListForm};

use super::Node;
use crate::discovery::{AppliedList, EndpointList};
use crate::timer::Timer;
use crate::types::Command;

impl Node {
    /// Begins the watch, or restarts one that has brought nothing in time.
    pub(super) fn drive_watch(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(cause) = self.discovery.overdue_cause(now) {
            self.restart_watch(now, cause, commands);
        }
        if self.discovery.is_due(now) {
            let conn = self.next_conn();
            self.discovery.start_watch(now, conn, commands);
        }
        self.schedule_watch(now);
    }

    pub(super) fn on_discovery(&mut self, now: Micros, bytes: &[u8], commands: &mut Vec<Command>) {
        let progress = self.discovery.receive(now, bytes);
        let read = progress.objects.iter().try_for_each(|object| {
            let list = EndpointList::parse(object, &self.names)?;
            self.apply_list(now, list, commands)
        });
        if progress.received_line && read.is_ok() {
            self.discovery.record_notification(now);
        }
        if let Some(cause) = read.err().or(progress.failure) {
            self.restart_watch(now, &cause, commands);
        }
    }

    /// The watch's connection never came up, was closed by the other side, or broke.
    pub(super) fn on_watch_ended(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.restart_watch(now, "the connection was refused or has ended", commands);
    }

    fn restart_watch(&mut self, now: Micros, cause: &str, commands: &mut Vec<Command>) {
        self.discovery.restart_watch(now, cause, commands);
        self.schedule_watch(now);
    }

    fn schedule_watch(&mut self, now: Micros) {
        if let Some(at) = self.discovery.next_timer(now) {
            self.timers.set(at, Timer::DiscoveryWatch);
        }
    }

    /// Takes a list over; idle connections to a server that has started anew lead to the process before it.
    ///
    /// # Errors
    /// A version that goes back.
    fn apply_list(
        &mut self,
        now: Micros,
        list: EndpointList,
        commands: &mut Vec<Command>,
    ) -> Result<(), String> {
        let AppliedList {
            form,
            entries,
            restarted,
        } = self.discovery.apply(now, list)?;
        for server in restarted {
            self.close_idle_connections(server, commands);
        }
        if form == ListForm::Full || !entries.is_empty() {
            self.events.push_back(Event::Servers { form, entries });
        }
        Ok(())
    }
}
