//! Following of the configuration, the holders of seats and the running processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::peer::{MemberRecord, SeatRecord};
use gentian_core::{EventCode, MonoTime, SequenceNumber, TimeSpan};
use gentian_wire::decode_record;

use crate::{
    ConfigStore, KeyValueService, ProcessClock, PublishError, RecordKeys, StoredConfig,
    StoredValue, WatchBatch,
};

/// Wait between two attempts while the service does not answer.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// Age of a watch at which it is made anew, since only its start shows contact.
const WATCH_RENEWAL: TimeSpan = TimeSpan::from_millis(2_000);

/// A change of what every process follows.
#[derive(Clone, Debug)]
pub enum StateChange {
    /// A newer configuration.
    Config(Box<StoredConfig>),
    /// Another holder of a seat.
    Holder(SeatRecord),
    /// A process that runs.
    Member(MemberRecord),
    /// The service answered a call that was sent at this time.
    Contact(MonoTime),
    /// The service does not answer.
    ContactLost,
}

/// Follows the watched records on a thread of its own.
pub struct StateWatcher {
    service: Arc<KeyValueService>,
    store: ConfigStore,
    clock: ProcessClock,
    stop: Arc<AtomicBool>,
    config: StoredConfig,
    revision: SequenceNumber,
    has_contact: bool,
}

impl StateWatcher {
    /// Creates a follower that knows nothing yet.
    pub fn new(service: Arc<KeyValueService>, clock: ProcessClock, stop: Arc<AtomicBool>) -> Self {
        Self {
            store: ConfigStore::new(Arc::clone(&service)),
            service,
            clock,
            stop,
            config: StoredConfig::new(),
            revision: SequenceNumber::default(),
            has_contact: true,
        }
    }

    /// Follows until the stop mark is set; `take` gets each change.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        mut self,
        take: impl Fn(StateChange) + Send + 'static,
    ) -> eyre::Result<JoinHandle<()>> {
        let work = move || {
            while !self.stop.load(Ordering::Acquire) {
                if let Err(cause) = self.follow(&take) {
                    self.note_lost(&cause, &take);
                    std::thread::sleep(RETRY_WAIT);
                }
            }
        };
        Ok(std::thread::Builder::new().name("follower".into()).spawn(work)?)
    }

    fn follow(&mut self, take: &impl Fn(StateChange)) -> Result<(), String> {
        if self.revision == SequenceNumber::default() {
            let asked = self.clock.now();
            let (values, revision) =
                self.service.read_prefix(RecordKeys::WATCHED).map_err(|e| e.to_string())?;
            for value in &values {
                self.take_value(value, take)?;
            }
            self.revision = revision;
            self.note_contact(asked, take);
        }
        self.watch(take)
    }

    fn watch(&mut self, take: &impl Fn(StateChange)) -> Result<(), String> {
        let service = Arc::clone(&self.service);
        let (asked, revision) = (self.clock.now(), self.revision);
        let mut fault = None;
        let mut is_first = true;
        let mut take_batch = |batch: WatchBatch| {
            if std::mem::take(&mut is_first) {
                self.note_contact(asked, take);
            }
            let taken = batch.changes.iter().try_for_each(|value| self.take_value(value, take));
            match taken {
                Ok(()) => self.note_revision(&batch),
                Err(cause) => fault = Some(cause),
            }
            let is_recent = self.clock.now().since(asked) < WATCH_RENEWAL;
            fault.is_none() && is_recent && !self.stop.load(Ordering::Acquire)
        };
        let watched = service.watch(RecordKeys::WATCHED, revision, &mut take_batch);
        match (watched, fault) {
            (Ok(()), None) => Ok(()),
            (_, Some(cause)) => Err(cause),
            (Err(error), None) => Err(error.to_string()),
        }
    }

    /// Moves on to the newest change of a batch. The revision of the batch itself may be ahead of
    /// changes that were not delivered yet.
    fn note_revision(&mut self, batch: &WatchBatch) {
        let newest = batch.changes.iter().map(|value| value.revision).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    fn take_value(
        &mut self,
        value: &StoredValue,
        take: &impl Fn(StateChange),
    ) -> Result<(), String> {
        let Some(bytes) = &value.value else { return Ok(()) };
        if value.key == RecordKeys::CONFIG_HEAD {
            return self.take_config(take);
        }
        if value.key.starts_with(RecordKeys::HOLDERS) {
            let record = decode_record(bytes).map(StateChange::Holder);
            record.map(take).map_err(|error| error.to_string())
        } else if value.key.starts_with(RecordKeys::MEMBERS) {
            let record = decode_record(bytes).map(StateChange::Member);
            record.map(take).map_err(|error| error.to_string())
        } else {
            Ok(())
        }
    }

    fn take_config(&mut self, take: &impl Fn(StateChange)) -> Result<(), String> {
        match self.store.read(&self.config) {
            Ok(config) if config.head.version > self.config.head.version => {
                self.config = config.clone();
                take(StateChange::Config(Box::new(config)));
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(error) => {
                if let PublishError::Damaged(cause) = &error {
                    log::error!("{} cause={cause:?}", EventCode::CONFIG_DAMAGED);
                }
                Err(error.to_string())
            }
        }
    }

    fn note_contact(&mut self, asked: MonoTime, take: &impl Fn(StateChange)) {
        if !std::mem::replace(&mut self.has_contact, true) {
            log::info!("{}", EventCode::PLATFORM_BACK);
        }
        take(StateChange::Contact(asked));
    }

    fn note_lost(&mut self, cause: &str, take: &impl Fn(StateChange)) {
        if std::mem::replace(&mut self.has_contact, false) {
            log::warn!("{} cause={cause:?}", EventCode::PLATFORM_LOST);
        }
        take(StateChange::ContactLost);
    }
}
