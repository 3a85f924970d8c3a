//! Writing actions as a reply frame.

use bitternlatch_policy::interface::Action;

use super::codes::action;

/// Bytes of a reply's header.
const HEADER_BYTES: usize = 8;
/// Bytes of a message to a peer at most.
const MAX_PEER_BYTES: usize = 256;
/// `whom` of a message to all peers.
const ALL_PEERS: u16 = u16::MAX;

/// One instance's actions as a reply frame.
pub fn encode_reply(instance: u16, actions: &[Action]) -> Vec<u8> {
    let mut reply = Reply::default();
    for action in actions {
        reply.put(instance, action);
    }
    reply.finish()
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
    /// The instance that the latest records are from.
    instance: Option<u16>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn put(&mut self, instance: u16, action: &Action) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.record(action::FROM).u16(instance);
        }
        self.put_action(action);
    }

    fn put_action(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => {
                let record = self.record(action::PASS_ON);
                record.u32(request).f64(timeout_s).u32(server)
            }
            Action::Cancel { request, attempt } => {
                self.record(action::RETRACT).u32(request).u16(attempt)
            }
            Action::Reject {
                request,
                retry_after_s,
            } => self.record(action::SHED).u32(request).f64(retry_after_s),
            Action::Fail { request } => self.record(action::FAIL).u32(request),
            Action::Release { request } => self.record(action::RELEASE).u32(request),
            Action::Probe { server } => self.record(action::TEST).u32(server),
            Action::SetTimer { at, label } => self.record(action::NOTIFY_ME).f64(at).u64(label),
            Action::Subscribe => self.record(action::STREAM_CHANGES).bytes(&[1]),
            Action::Unsubscribe => self.record(action::STREAM_CHANGES).bytes(&[0]),
            Action::FetchList => self.record(action::LIST_ALL),
            Action::ReserveSlot { request, server } => {
                self.record(action::BOOK_SEAT).u32(request).u32(server)
            }
            Action::Migrate { request } => self.record(action::MIGRATE).u32(request),
            Action::CloseIdle { server } => self.record(action::HANG_UP).u32(server),
            Action::SendToPeer { peer, ref data } => {
                let record = self.record(action::WRITE_PEER);
                let data = &data[..data.len().min(MAX_PEER_BYTES)];
                record.u16(peer.unwrap_or(ALL_PEERS)).counted(data)
            }
            Action::Log { ref text } => self.record(action::REMARK).counted(text.as_bytes()),
            Action::Fault { ref text } => self.record(action::FATAL).counted(text.as_bytes()),
        };
    }

    /// Begins a record.
    fn record(&mut self, code: u8) -> &mut Self {
        self.count += 1;
        self.bytes(&[code])
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.body.extend_from_slice(bytes);
        self
    }

    fn u16(&mut self, number: u16) -> &mut Self {
        self.bytes(&number.to_le_bytes())
    }

    fn u32(&mut self, number: u32) -> &mut Self {
        self.bytes(&number.to_le_bytes())
    }

    fn u64(&mut self, number: u64) -> &mut Self {
        self.bytes(&number.to_le_bytes())
    }

    fn f64(&mut self, number: f64) -> &mut Self {
        self.bytes(&number.to_le_bytes())
    }

    /// A count of two bytes and as many bytes; more are cut off.
    fn counted(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        self.u16(bytes.len() as u16).bytes(bytes)
    }

    /// The frame.
    pub fn finish(self) -> Vec<u8> {
        let size = HEADER_BYTES + self.body.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&(size as u32).to_le_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}
