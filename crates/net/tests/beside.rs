//! A workflow request to a dispatcher whose workflow service is not configured, or does not accept commands.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bitternlatch_core::{Input, SessionId, Settings};
use bitternlatch_net::driver::{event_queue, Driver, Event, ServiceSinks};
use bitternlatch_net::socket::{start, Limits};
use tungstenite::protocol::Role;

/// Runs a driver with these service sinks, sends a workflow claim in one session and returns all that the session received.
fn response_to_claim(services: ServiceSinks) -> String {
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
        max_message_bytes: 1 << 20,
        max_queued_messages: 100,
        ping_interval: Duration::from_secs(60),
        idle_timeout: None,
    };
    let (_reader, outbox) = start(near, Vec::new(), Role::Server, limits, None).expect("threads");
    let (events, receiver) = event_queue();
    let mut driver = Driver::new(settings, 1, (events.clone(), receiver), Arc::default());
    driver.set_service_sinks(services);
    let session = SessionId(1);
    let claim = r#"{"type":"response.create","model":"m","input":"claim",
        "metadata":{"workflow":"w","workflow_do":"claim","workflow_worker":"a"}}"#;
    events
        .send(Event::SessionOpened(session, outbox, None))
        .expect("room");
    events
        .send(Event::Input(Input::SessionText {
            session,
            text: claim.into(),
        }))
        .expect("room");
    events.send(Event::Input(Input::Stop)).expect("room");
    driver.run(Duration::from_secs(20));
    far.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    // Two frames: the error event and the close frame.
    while !String::from_utf8_lossy(&received).contains("the dispatcher stops") {
        match far.read(&mut chunk) {
            Ok(bytes) if bytes > 0 => received.extend(&chunk[..bytes]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn workflow_request_is_rejected_as_busy_at_once_if_the_service_does_not_accept_it() {
    let received = response_to_claim(ServiceSinks::default());
    assert!(
        received.contains("workflow_busy") && received.contains("retry_after_ms"),
        "not configured: {received}"
    );
    let commands = Arc::new(Mutex::new(0));
    let count = Arc::clone(&commands);
    let full = move |_| {
        *count.lock().expect("not poisoned") += 1;
        false
    };
    let received = response_to_claim(ServiceSinks {
        workflow: Some(Box::new(full)),
        ..ServiceSinks::default()
    });
    assert!(
        received.contains("workflow_busy"),
        "command not accepted: {received}"
    );
    assert_eq!(
        *commands.lock().expect("not poisoned"),
        1,
        "one command is sent"
    );
}
