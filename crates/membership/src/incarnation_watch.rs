//! A wrapper around the codec of `foca` that detects another live process under this member's own name.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};

use crate::member::{Id, NameKey};

/// A codec that records the latest start of the own name in all decoded headers and membership updates.
///
/// `foca` treats an update about its own name as stale and declares the other process down. Two live processes under
/// one name would do this to each other forever, so the conflict is detected here, when the update is decoded.
pub(crate) struct IncarnationWatch {
    /// The name whose starts are recorded.
    pub own: NameKey,
    /// The latest start of the own name that was received in a header or as an update that is not down.
    pub latest: Arc<AtomicU64>,
}

impl IncarnationWatch {
    fn record_start(&self, id: &Id) {
        if id.name == self.own {
            self.latest.fetch_max(id.start.process, Ordering::Relaxed);
        }
    }
}

impl Codec<Id> for IncarnationWatch {
    type Error = <PostcardCodec as Codec<Id>>::Error;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_header(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Id>, Self::Error> {
        let header: Header<Id> = PostcardCodec.decode_header(buf)?;
        self.record_start(&header.src);
        self.record_start(&header.dst);
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Id>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, Self::Error> {
        let member: Member<Id> = PostcardCodec.decode_member(buf)?;
        if member.state() != foca::State::Down {
            self.record_start(member.id());
        }
        Ok(member)
    }
}
