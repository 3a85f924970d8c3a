//! The discovery client: it keeps the watch open, reconnects it where it breaks, and takes its lists over.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, ListForm};

use crate::discovery::{Applied, List};
use crate::node::{Due, Node};
use crate::types::{Command, Level};

impl Node {
    /// Begins the watch, or ends one that has brought nothing in time.
    pub(crate) fn follow(&mut self, now: Micros, out: &mut Vec<Command>) {
        if let Some(cause) = self.watch.overdue(now) {
            self.break_watch(now, cause, out);
        }
        if self.watch.due(now) {
            let conn = self.next_conn();
            self.watch.begin(now, conn);
            out.push(Command::Connect {
                conn,
                to: self.discovery,
            });
        }
        self.arm_watch(now);
    }

    pub(crate) fn on_discovery(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Command>) {
        let taken = self.watch.take(now, bytes);
        let read = taken.objects.iter().try_for_each(|o| {
            let list = List::parse(o, &self.names)?;
            self.on_list(now, list, out)
        });
        if taken.any_line && read.is_ok() {
            self.fleet.heard(now);
        }
        if let Some(cause) = read.err().or(taken.broken) {
            self.break_watch(now, &cause, out);
        }
    }

    /// The watch's connection never came up, was closed by the other side, or broke.
    pub(crate) fn on_watch_ended(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.break_watch(now, "the connection was refused or has ended", out);
    }

    fn break_watch(&mut self, now: Micros, cause: &str, out: &mut Vec<Command>) {
        let (at, rev) = (self.discovery, self.fleet.rev());
        let cause = format!("discovery at {at}, after version {rev}: {cause}");
        if let Some(text) = self.watch.to_log(now, &cause) {
            self.log(
                out,
                Level::Warn,
                format!("{text}; the list stays and the watch is begun anew"),
            );
        }
        if let Some(conn) = self.watch.end(now) {
            out.push(Command::Close { conn });
        }
        self.arm_watch(now);
    }

    fn arm_watch(&mut self, now: Micros) {
        if let Some(at) = self.watch.arm(now) {
            self.timers.set(at, Due::Watch);
        }
    }

    /// Takes a list over.
    ///
    /// # Errors
    /// A version that goes back.
    fn on_list(&mut self, now: Micros, list: List, out: &mut Vec<Command>) -> Result<(), String> {
        if list.rev < self.fleet.rev() {
            return Err(format!(
                "version {} comes after {}",
                list.rev,
                self.fleet.rev()
            ));
        }
        let Applied {
            form,
            entries,
            restarted,
        } = self.fleet.apply(now, list);
        self.listed = true;
        for server in restarted {
            for conn in self.pool.idle_at(server) {
                self.drop_link(conn, out);
            }
        }
        if form == ListForm::Full || !entries.is_empty() {
            self.events.push_back(Event::Servers { form, entries });
        }
        Ok(())
    }
}
