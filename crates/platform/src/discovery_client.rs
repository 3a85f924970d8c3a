//! The discovery client: it keeps the watch open, reconnects it where it breaks, and takes its lists over.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, ListForm};

use crate::discovery::{AppliedList, EndpointList};
use crate::node::{Node, Timer};
use crate::types::{Command, Level};

impl Node {
    /// Begins the watch, or ends one that has brought nothing in time.
    pub(crate) fn drive_watch(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(cause) = self.watch.overdue(now) {
            self.restart_watch(now, cause, commands);
        }
        if self.watch.due(now) {
            let conn = self.next_conn();
            self.watch.begin(now, conn);
            commands.push(Command::Connect {
                conn,
                to: self.discovery,
            });
        }
        self.schedule_watch(now);
    }

    pub(crate) fn on_discovery(&mut self, now: Micros, bytes: &[u8], commands: &mut Vec<Command>) {
        let taken = self.watch.take(now, bytes);
        let read = taken.objects.iter().try_for_each(|o| {
            let list = EndpointList::parse(o, &self.names)?;
            self.apply_list(now, list, commands)
        });
        if taken.any_line && read.is_ok() {
            self.endpoints.notified(now);
        }
        if let Some(cause) = read.err().or(taken.broken) {
            self.restart_watch(now, &cause, commands);
        }
    }

    /// The watch's connection never came up, was closed by the other side, or broke.
    pub(crate) fn on_watch_ended(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.restart_watch(now, "the connection was refused or has ended", commands);
    }

    fn restart_watch(&mut self, now: Micros, cause: &str, commands: &mut Vec<Command>) {
        let (at, rev) = (self.discovery, self.endpoints.rev());
        let cause = format!("discovery at {at}, after version {rev}: {cause}");
        if let Some(text) = self.watch.limited_log_line(now, &cause) {
            self.log(
                commands,
                Level::Warn,
                format!("{text}; the list stays and the watch is begun anew"),
            );
        }
        if let Some(conn) = self.watch.end(now) {
            commands.push(Command::Close { conn });
        }
        self.schedule_watch(now);
    }

    fn schedule_watch(&mut self, now: Micros) {
        if let Some(at) = self.watch.arm(now) {
            self.timers.set(at, Timer::DiscoveryWatch);
        }
    }

    /// Takes a list over.
    ///
    /// # Errors
    /// A version that goes back.
    fn apply_list(
        &mut self,
        now: Micros,
        list: EndpointList,
        commands: &mut Vec<Command>,
    ) -> Result<(), String> {
        if list.rev < self.endpoints.rev() {
            return Err(format!(
                "version {} comes after {}",
                list.rev,
                self.endpoints.rev()
            ));
        }
        let AppliedList {
            form,
            entries,
            restarted,
        } = self.endpoints.apply(now, list);
        self.endpoints_known = true;
        for server in restarted {
            for conn in self.pool.idle_at(server) {
                self.close_server_connection(conn, commands);
            }
        }
        if form == ListForm::Full || !entries.is_empty() {
            self.events.push_back(Event::Servers { form, entries });
        }
        Ok(())
    }
}
