//! The library's codec, watched for news of another process under this one's own name.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};

use crate::member::{Id, NameKey};

/// The library takes news of its own name for stale and declares the other one dead, which the other does too,
/// without end. So they are seen here, where they come in.
pub(crate) struct IncarnationWatch {
    pub own: NameKey,
    /// The latest start that was told to be alive under the own name.
    pub latest: Arc<AtomicU64>,
}

impl IncarnationWatch {
    fn saw(&self, id: &Id) {
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
        self.saw(&header.src);
        self.saw(&header.dst);
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Id>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, Self::Error> {
        let member: Member<Id> = PostcardCodec.decode_member(buf)?;
        if member.state() != foca::State::Down {
            self.saw(member.id());
        }
        Ok(member)
    }
}
