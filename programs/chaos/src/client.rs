//! One client connection: what it says and hears is captured at its own socket.

use std::io;
use std::time::Duration;

use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::dial::{dial_with_options, DialOptions};
use bitternlatch_net::socket::{Limits, Outbox, ReadOutcome};
use bitternlatch_protocol::client::ServerEvent;
use crossbeam_channel::{unbounded, Receiver};

/// What came.
#[derive(Debug)]
pub enum Came {
    Event(Box<ServerEvent>),
    Closed(String),
    /// Nothing within the time.
    Silence,
}

pub struct Client {
    outbox: Outbox,
    heard: Receiver<Result<String, String>>,
    who: String,
    peer: String,
    capture: Capture,
}

impl Client {
    /// Opens a session. `peer` names the other end in the capture: `dispatcher#connection`.
    ///
    /// # Errors
    /// As dialling.
    pub fn connect(endpoint: &str, who: &str, peer: &str, capture: Capture) -> io::Result<Client> {
        Client::connect_as(endpoint, who, peer, capture, &DialOptions::default())
    }

    /// As [`Client::connect`], with a token or a certificate.
    ///
    /// # Errors
    /// As dialling.
    pub fn connect_as(
        endpoint: &str,
        who: &str,
        peer: &str,
        capture: Capture,
        manner: &DialOptions,
    ) -> io::Result<Client> {
        let limits = Limits {
            max_message_bytes: 8 << 20,
            max_queued_messages: 4096,
            ping_interval: Duration::from_secs(10),
            idle_timeout: None,
        };
        let (mut reader, outbox) = dial_with_options(
            endpoint,
            "/v1/responses",
            manner,
            Duration::from_secs(2),
            limits,
            None,
        )?;
        let (to, heard) = unbounded();
        capture.put(who, peer, "open", "");
        let (name, other, lines) = (who.to_string(), peer.to_string(), capture.clone());
        let read = move || loop {
            match reader.read() {
                ReadOutcome::Text(text) => {
                    lines.put(&name, &other, "in", &text);
                    let _ = to.send(Ok(text));
                }
                ReadOutcome::Ended(why) => {
                    lines.put(&name, &other, "close", "");
                    let _ = to.send(Err(why));
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(read)?;
        Ok(Client {
            outbox,
            heard,
            who: who.to_string(),
            peer: peer.to_string(),
            capture,
        })
    }

    /// Says one message; a session that has ended is heard of by [`Client::next`].
    pub fn say(&self, text: &str) {
        self.capture.put(&self.who, &self.peer, "out", text);
        let _ = self.outbox.text(text.to_string());
    }

    /// Waits for the next event.
    pub fn next(&self, within: Duration) -> Came {
        match self.heard.recv_timeout(within) {
            Ok(Ok(text)) => match serde_json::from_str(&text) {
                Ok(event) => Came::Event(Box::new(event)),
                Err(e) => Came::Closed(format!("an event that cannot be read: {e}")),
            },
            Ok(Err(why)) => Came::Closed(why),
            Err(crossbeam_channel::RecvTimeoutError::Timeout) => Came::Silence,
            Err(crossbeam_channel::RecvTimeoutError::Disconnected) => {
                Came::Closed("closed".to_string())
            }
        }
    }

    /// Drops the socket without a word.
    pub fn cut(&self) {
        self.capture.put(&self.who, &self.peer, "drop", "");
        self.outbox.abort();
    }

    /// Gives up on an answer that does not come.
    pub fn give_up(&self) {
        self.capture.put(&self.who, &self.peer, "gave_up", "");
        self.outbox.abort();
    }

    /// Closes the session in order, with nothing in hand.
    pub fn close(&self) {
        self.capture.put(&self.who, &self.peer, "bye", "");
        self.outbox.close(1000, "");
    }
}
