//! Encodes actions as a reply frame.

use bitternlatch_policy::interface::Action;

use super::codes::action;

/// Length of a reply frame's header, in bytes.
const HEADER_BYTES: usize = 8;
/// Maximum length of a message to another instance, in bytes; longer messages are cut.
const MAX_PEER_BYTES: usize = 256;
/// Value of `whom` in a message to all other instances.
const ALL_PEERS: u16 = u16::MAX;

/// Encodes the actions of one instance as a reply frame.
pub fn encode_reply(instance: u16, actions: &[Action]) -> Vec<u8> {
    let mut reply = Reply::default();
    for action in actions {
        reply.push(instance, action);
    }
    reply.finish()
}

/// A reply frame that is being built.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
    /// Instance of the latest record; a `from` record is written when it changes.
    instance: Option<u16>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.begin_record(action::FROM).u16(instance);
        }
        self.push_action(action);
    }

    fn push_action(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => {
                let record = self.begin_record(action::PASS_ON);
                record.u32(request).f64(timeout_s).u32(server)
            }
            Action::Cancel { request, attempt } => {
                self.begin_record(action::RETRACT).u32(request).u16(attempt)
            }
            Action::Reject {
                request,
                retry_after_s,
            } => self
                .begin_record(action::SHED)
                .u32(request)
                .f64(retry_after_s),
            Action::Fail { request } => self.begin_record(action::FAIL).u32(request),
            // The simulator releases what a cancelled or timed-out prefill leaves, so nothing is repeated.
            Action::Release { request, .. } => self.begin_record(action::RELEASE).u32(request),
            Action::Probe { server } => self.begin_record(action::TEST).u32(server),
            Action::SetTimer { at, label } => {
                self.begin_record(action::NOTIFY_ME).f64(at).u64(label)
            }
            Action::Subscribe => self.begin_record(action::STREAM_CHANGES).bytes(&[1]),
            Action::Unsubscribe => self.begin_record(action::STREAM_CHANGES).bytes(&[0]),
            Action::FetchList => self.begin_record(action::LIST_ALL),
            Action::ReserveSlot { request, server } => self
                .begin_record(action::BOOK_SEAT)
                .u32(request)
                .u32(server),
            Action::Migrate { request } => self.begin_record(action::MIGRATE).u32(request),
            Action::CloseIdle { server } => self.begin_record(action::HANG_UP).u32(server),
            Action::SendToPeer { peer, ref data } => {
                let record = self.begin_record(action::WRITE_PEER);
                let data = &data[..data.len().min(MAX_PEER_BYTES)];
                record.u16(peer.unwrap_or(ALL_PEERS)).length_prefixed(data)
            }
            Action::Log { ref text } => self
                .begin_record(action::REMARK)
                .length_prefixed(text.as_bytes()),
            Action::Fault { ref text } => self
                .begin_record(action::FATAL)
                .length_prefixed(text.as_bytes()),
        };
    }

    /// Starts a record with its code.
    fn begin_record(&mut self, code: u8) -> &mut Self {
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

    /// Appends a length of two bytes and the bytes themselves, cut to 65,535.
    fn length_prefixed(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        self.u16(bytes.len() as u16).bytes(bytes)
    }

    /// Returns the complete frame.
    pub fn finish(self) -> Vec<u8> {
        let size = HEADER_BYTES + self.body.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&(size as u32).to_le_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}
