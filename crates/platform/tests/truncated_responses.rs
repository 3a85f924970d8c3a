//! An answer that breaks off, at each of its bytes, and one that comes byte by byte.
mod common;

use bitternlatch_platform::types::Input;
use common::*;

fn answer() -> String {
    format!(
        "{STREAM_HEAD}{}{}0\r\n\r\n",
        chunk(&event("one")),
        chunk(&event("two"))
    )
}

/// Before the first whole event the request may go elsewhere, if its class allows that; after it the attempt is the
/// client's, who gets whole events alone and no last chunk.
#[test]
fn truncated_response_is_never_complete() {
    let (text, first) = (answer(), event("one"));
    let first_whole = text.find(&first).expect("the first event") + first.len();
    let second_whole = text.find(&event("two")).expect("the second event") + event("two").len();
    for (kind, safe) in [("ask", true), ("book", false)] {
        for cut in 0..text.len() {
            let mut rig = Rig::new();
            let (client, writer) = rig.at_decode("k1", kind);
            let writes = rig.count(Call::is_decode);
            if cut > 0 {
                rig.text(writer, &text[..cut]);
            }
            rig.tell(Input::Ended { conn: writer });
            let again = rig.count(Call::is_decode) > writes;
            let at = format!("{kind}, cut at {cut}");
            assert_eq!(rig.node.counts().served, 0, "{at}");
            if cut < first_whole {
                assert_eq!(again, safe, "{at}");
                assert_eq!(rig.status(client), if safe { "" } else { "504" }, "{at}");
                continue;
            }
            let events = if cut < second_whole {
                first.clone()
            } else {
                first.clone() + &event("two")
            };
            assert!(!again && rig.finished.contains(&client), "{at}");
            assert_eq!(unchunk(rig.said(client)), events, "{at}");
            assert!(!rig.said(client).ends_with("0\r\n\r\n"), "{at}");
        }
    }
}

/// As slow as the bound on silence between two events allows: a stream without a whole event for 4.4 s has broken.
#[test]
fn response_may_come_byte_by_byte() {
    let mut rig = Rig::new();
    let (client, writer) = rig.at_decode("k2", "ask");
    let text = answer();
    let first_whole = text.find(&event("one")).expect("the first event") + event("one").len();
    for (i, byte) in text.as_bytes().iter().enumerate() {
        rig.pass(if i < first_whole { 0.001 } else { 0.05 });
        rig.bytes(writer, &[*byte]);
    }
    assert_eq!(unchunk(rig.said(client)), event("one") + &event("two"));
    assert!(rig.said(client).ends_with("0\r\n\r\n"));
    assert_eq!(
        (rig.node.counts().served, rig.count(Call::is_decode)),
        (1, 1)
    );
}

/// A client that takes a byte a second is no one that takes nothing.
#[test]
fn slow_reader_keeps_its_response() {
    let mut rig = Rig::new();
    rig.slow = true;
    let (client, writer) = rig.at_decode("k3", "ask");
    rig.text(writer, &answer());
    for _ in 0..100 {
        rig.pass(1.0);
        rig.tell(Input::Wrote {
            conn: client,
            count: 1,
        });
    }
    assert!(!rig.closed.contains(&client) && !rig.finished.contains(&client));
    assert_eq!(rig.node.counts().served, 1);
}
