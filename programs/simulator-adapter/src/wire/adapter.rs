//! The router instances of one process and the decoding of batches for them.

use std::collections::BTreeMap;

use bitternlatch_output_length::DurationBasedLearner;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::{Action, Settings};
use bitternlatch_routing_settings::{read_settings, RawSettings};

use super::codes::event;
use super::cursor::Cursor;
use super::error::{Result, WireError};
use super::lists::Lists;
use super::records::read_event;
use super::reply::Reply;

/// Whether instances learn output lengths from past answers and pass them to the router; the platform has the same switch.
const LEARN_OUTPUT_LENGTHS: bool = false;

/// Parses the settings in a `start` record; unknown keys are skipped.
///
/// # Errors
/// A line without a value, a missing key, or an invalid value.
pub fn parse_settings(text: &str) -> Result<Settings> {
    Ok(read_settings(&RawSettings::from_lines(text)?)?)
}

/// A router and its learned output lengths.
struct Instance {
    router: Router,
    lengths: DurationBasedLearner,
}

/// All router instances of one process and the numbered server lists that they refer to.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u16, Instance>,
    lists: Lists,
    actions: Vec<Action>,
}

/// State while the records of one batch are read.
struct Batch<'a> {
    cursor: Cursor<'a>,
    /// Clock time of the batch, in seconds.
    now: f64,
    /// The instance that the records are for; set by the latest `at` record.
    instance: Option<u16>,
    reply: Reply,
}

impl Adapter {
    /// Handles one complete batch frame and returns the complete reply frame.
    ///
    /// # Errors
    /// A frame that violates the simulator's protocol.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>> {
        let mut cursor = Cursor::new(frame, 0);
        let records = cursor.u32("the record count")?;
        let size = cursor.u32("the frame size")?;
        if size as usize != frame.len() {
            let found = frame.len();
            return Err(WireError::FrameSize { size, found });
        }
        let now = cursor.f64("the clock")?;
        if !now.is_finite() {
            return Err(WireError::InvalidClock);
        }
        let mut batch = Batch {
            cursor,
            now,
            instance: None,
            reply: Reply::default(),
        };
        for index in 0..records {
            self.handle_record(&mut batch)
                .map_err(|e| WireError::Record {
                    index,
                    source: Box::new(e),
                })?;
        }
        let bytes = frame.len() - batch.cursor.position();
        if bytes != 0 {
            return Err(WireError::BytesLeft { bytes, records });
        }
        Ok(batch.reply.finish())
    }

    fn handle_record(&mut self, batch: &mut Batch<'_>) -> Result<()> {
        let at = batch.cursor.position();
        let code = batch.cursor.u8("a record code")?;
        match code {
            event::AT => {
                batch.instance = Some(batch.cursor.u16("at")?);
                return Ok(());
            }
            event::INVENTORY => return self.lists.read(&mut batch.cursor),
            _ => {}
        }
        let Some(instance) = batch.instance else {
            return Err(WireError::NoInstance { code, at });
        };
        match code {
            event::START => self.start_instance(&mut batch.cursor, instance),
            event::SHUTDOWN => {
                self.instances.remove(&instance);
                Ok(())
            }
            _ => self.handle_event(batch, instance, code, at),
        }
    }

    fn handle_event(
        &mut self,
        batch: &mut Batch<'_>,
        number: u16,
        code: u8,
        at: usize,
    ) -> Result<()> {
        let mut event = read_event(&mut batch.cursor, code, at, &self.lists)?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(WireError::NotStarted {
                code,
                at,
                instance: number,
            });
        };
        self.actions.clear();
        if LEARN_OUTPUT_LENGTHS {
            instance.lengths.observe(batch.now, &mut event);
        }
        instance.router.handle(batch.now, event, &mut self.actions);
        for action in &self.actions {
            batch.reply.push(number, action);
        }
        Ok(())
    }

    fn start_instance(&mut self, cursor: &mut Cursor, number: u16) -> Result<()> {
        let seed = cursor.u64("start")?;
        let length = cursor.u32("start")? as usize;
        let text = cursor.bytes(length, "the settings")?;
        let text = std::str::from_utf8(text).map_err(WireError::SettingsNotUtf8)?;
        let settings = parse_settings(text)?;
        let instance = Instance {
            lengths: DurationBasedLearner::new(&settings),
            router: Router::new(settings, seed),
        };
        self.instances.insert(number, instance);
        Ok(())
    }

    #[cfg(test)]
    pub(super) fn lists(&mut self) -> &mut Lists {
        &mut self.lists
    }
}
