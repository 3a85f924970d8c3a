//! Connections to one member, which pass this program: cut ones stay open and say nothing, as a half-open link does; slow ones
//! trickle. Who asks stands in the first line of what members ask each other.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_net::lock;

use crate::between::{Rule, Rules};

/// Longest first line, and pieces in which a link carries what follows.
const LINE_BYTES: usize = 256;
const PIECE_BYTES: usize = 4096;
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Connections at once; past it they are closed.
const LINKS_MOST: usize = 64;

/// What lies before one member.
pub(crate) struct Door {
    pub to: (usize, SocketAddrV4),
    pub names: BTreeMap<NameKey, usize>,
    pub rules: Rules,
    pub stop: Arc<AtomicBool>,
}

impl Door {
    pub(crate) fn run(&self, listener: &TcpListener) {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        std::thread::scope(|scope| {
            let mut links: Vec<std::thread::ScopedJoinHandle<()>> = Vec::new();
            while !self.stop.load(Ordering::SeqCst) {
                links.retain(|link| !link.is_finished());
                match listener.accept() {
                    Ok((stream, _)) if links.len() < LINKS_MOST => {
                        links.push(scope.spawn(move || drop(self.carry(stream))));
                    }
                    Ok(_) => {}
                    Err(_) => std::thread::sleep(LOOK_EVERY),
                }
            }
        });
    }

    /// One question and its answer, under the rules of both directions as they are at each piece.
    fn carry(&self, mut asker: TcpStream) -> io::Result<()> {
        asker.set_nonblocking(false)?;
        asker.set_read_timeout(Some(LOOK_EVERY))?;
        let mut line = Vec::new();
        while !line.ends_with(b"\n") && line.len() < LINE_BYTES {
            match self.piece(&mut asker, 1)? {
                Some(piece) if piece.is_empty() => return Ok(()),
                Some(piece) => line.extend(piece),
                None => return Ok(()),
            }
        }
        let text = String::from_utf8_lossy(&line);
        let from = text
            .split_whitespace()
            .nth(2)
            .and_then(|name| self.names.get(&NameKey::of(name)).copied());
        let (there, back) = ((from, Some(self.to.0)), (Some(self.to.0), from));
        if !self.passes(there, line.len()) {
            return Ok(());
        }
        let mut member =
            TcpStream::connect_timeout(&SocketAddr::V4(self.to.1), Duration::from_secs(2))?;
        member.set_read_timeout(Some(LOOK_EVERY))?;
        member.write_all(&line)?;
        if text.starts_with("link ") {
            // One way: what the asker says, for as long as it lasts.
            while let Some(piece) = self.piece(&mut asker, PIECE_BYTES)? {
                if piece.is_empty() || !self.passes(there, piece.len()) {
                    return Ok(());
                }
                member.write_all(&piece)?;
            }
            return Ok(());
        }
        while let Some(piece) = self.piece(&mut member, PIECE_BYTES)? {
            if piece.is_empty() || !self.passes(back, piece.len()) {
                return Ok(());
            }
            asker.write_all(&piece)?;
        }
        Ok(())
    }

    /// The next bytes; none at the end, `None` where this program ends.
    fn piece(&self, from: &mut TcpStream, most: usize) -> io::Result<Option<Vec<u8>>> {
        let mut buffer = vec![0; most];
        while !self.stop.load(Ordering::SeqCst) {
            match from.read(&mut buffer) {
                Ok(n) => return Ok(Some(buffer[..n].to_vec())),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(None)
    }

    fn rule(&self, (from, to): (Option<usize>, Option<usize>)) -> Rule {
        let way = from.zip(to);
        way.and_then(|way| lock(&self.rules).get(&way).copied())
            .unwrap_or_default()
    }

    /// Waits until so many bytes may pass; false where this program ends first. A cut link swallows them for as long as it
    /// is cut: what was sent then is sent again by neither side, as the connection stays open.
    fn passes(&self, way: (Option<usize>, Option<usize>), bytes: usize) -> bool {
        while self.rule(way).cut {
            if self.stop.load(Ordering::SeqCst) {
                return false;
            }
            std::thread::sleep(LOOK_EVERY);
        }
        let rule = self.rule(way);
        std::thread::sleep(
            Duration::from_secs_f64(rule.delay_s.clamp(0.0, 60.0)) + rule.busy_with(bytes),
        );
        !self.stop.load(Ordering::SeqCst)
    }
}
