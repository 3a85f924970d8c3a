//! A machine beside the plane that is not there, or does not take what it is told.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bitternlatch_core::{Input, SessionId, Settings};
use bitternlatch_net::driver::{events, Beside, Driver, Event};
use bitternlatch_net::socket::{start, Limits};
use tungstenite::protocol::Role;

/// What a session hears of a claim where the machine is this one.
fn claims(beside: Beside) -> String {
    let cluster =
        "[cluster]\nname = \"hall\"\nsecret = \"s\"\n[[cluster.roster]]\nname = \"NAME\"\n\
        address = \"127.0.0.1:7811\"\n[cluster.workflows]\n";
    let text = include_str!("../../../deploy/dispatch.toml");
    let name = Settings::parse("test", text).expect("settings").name;
    let text = format!("{text}\n{}", cluster.replace("NAME", &name));
    let settings = Settings::parse("test", &text).expect("settings");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut far =
        TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    let near = listener.accept().expect("the other end").0;
    let limits = Limits {
        message_bytes: 1 << 20,
        queue: 100,
        ping: Duration::from_secs(60),
        idle: None,
    };
    let (_reader, outbox) = start(near, Vec::new(), Role::Server, limits, None).expect("threads");
    let (to, from) = events();
    let mut driver = Driver::new(settings, 1, (to.clone(), from), Arc::default());
    driver.tell_beside(beside);
    let session = SessionId(1);
    let claim = r#"{"type":"response.create","model":"m","input":"claim",
        "metadata":{"workflow":"w","workflow_do":"claim","workflow_worker":"a"}}"#;
    to.send(Event::Session(session, outbox, None))
        .expect("room");
    to.send(Event::Input(Input::SessionText {
        session,
        text: claim.into(),
    }))
    .expect("room");
    to.send(Event::Input(Input::Stop)).expect("room");
    driver.run(Duration::from_secs(20));
    far.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let (mut heard, mut piece) = (Vec::new(), [0; 4096]);
    // Two frames: the refusal, and the closing word.
    while !String::from_utf8_lossy(&heard).contains("the dispatcher stops") {
        match far.read(&mut piece) {
            Ok(bytes) if bytes > 0 => heard.extend(&piece[..bytes]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&heard).into_owned()
}

#[test]
fn a_question_that_the_machine_of_workflows_does_not_take_is_refused_as_busy_at_once() {
    let heard = claims(Beside::default());
    assert!(
        heard.contains("workflow_busy") && heard.contains("retry_after_ms"),
        "off: {heard}"
    );
    let asked = Arc::new(Mutex::new(0));
    let count = Arc::clone(&asked);
    let full = move |_| {
        *count.lock().expect("not poisoned") += 1;
        false
    };
    let heard = claims(Beside {
        workflow: Some(Box::new(full)),
        ..Beside::default()
    });
    assert!(heard.contains("workflow_busy"), "full: {heard}");
    assert_eq!(*asked.lock().expect("not poisoned"), 1, "it is asked once");
}
