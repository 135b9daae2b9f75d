//! Watch on the configuration, the holders of seats and the member records of processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::peer::{MemberRecord, SeatRecord};
use gentian_core::{EventCode, MonoTime, StoreRevision, TimeSpan};
use gentian_wire::decode_record;

use crate::{
    ConfigStore, ConfigStoreError, KeyValueService, ProcessClock, RecordKeys, StoredConfig,
    StoredValue, WatchBatch, WatchRequest,
};

/// Delay between two attempts while the key-value service does not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time without a change after which a watch ends, so that a new one shows whether the service
/// still answers.
const WATCH_WAIT: TimeSpan = TimeSpan::from_millis(2_000);

/// Age from which a watch is replaced by a new one, because only the start of a watch proves
/// contact with the service. The age is checked after each batch; a watch without batches ends by
/// the read timeout.
const MAX_WATCH_AGE: TimeSpan = TimeSpan::from_millis(2_000);

/// A change of the state that every process watches.
#[derive(Clone, Debug)]
pub enum StateChange {
    /// A newer configuration.
    Config(Box<StoredConfig>),
    /// A seat has a new holder.
    Holder(SeatRecord),
    /// The member record of a process, which may have stopped since.
    Member(MemberRecord),
    /// The key-value service answered a call that was sent at this time.
    Contact(MonoTime),
    /// The key-value service does not answer.
    ContactLost,
}

/// Watches the records below [`RecordKeys::WATCHED`] on a dedicated thread.
pub struct StateWatcher {
    service: Arc<KeyValueService>,
    store: ConfigStore,
    clock: ProcessClock,
    stop: Arc<AtomicBool>,
    config: StoredConfig,
    revision: StoreRevision,
    has_contact: bool,
}

impl StateWatcher {
    /// Creates a watcher without any state.
    pub fn new(service: Arc<KeyValueService>, clock: ProcessClock, stop: Arc<AtomicBool>) -> Self {
        Self {
            store: ConfigStore::new(Arc::clone(&service)),
            service,
            clock,
            stop,
            config: StoredConfig::new(),
            revision: StoreRevision::default(),
            has_contact: true,
        }
    }

    /// Starts the thread, which passes each change to `handle` until the stop flag is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        mut self,
        handle: impl Fn(StateChange) + Send + 'static,
    ) -> eyre::Result<JoinHandle<()>> {
        let work = move || {
            while !self.stop.load(Ordering::Acquire) {
                if let Err(cause) = self.read_and_watch(&handle) {
                    self.record_contact_lost(&cause, &handle);
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        };
        Ok(std::thread::Builder::new().name("follower".into()).spawn(work)?)
    }

    fn read_and_watch(&mut self, handle: &impl Fn(StateChange)) -> Result<(), String> {
        if self.revision == StoreRevision::default() {
            let sent_at = self.clock.now();
            let (values, revision) =
                self.service.read_prefix(RecordKeys::WATCHED).map_err(|e| e.to_string())?;
            for value in &values {
                self.handle_value(value, handle)?;
            }
            self.revision = revision;
            self.record_contact(sent_at, handle);
        }
        self.watch(handle)
    }

    fn watch(&mut self, handle: &impl Fn(StateChange)) -> Result<(), String> {
        let (service, stop) = (Arc::clone(&self.service), Arc::clone(&self.stop));
        let (sent_at, revision) = (self.clock.now(), self.revision);
        let mut failure = None;
        let mut is_first = true;
        let mut handle_batch = |batch: WatchBatch| {
            if std::mem::take(&mut is_first) {
                self.record_contact(sent_at, handle);
            }
            let handled =
                batch.changes.iter().try_for_each(|value| self.handle_value(value, handle));
            match handled {
                Ok(()) => self.update_revision(&batch),
                Err(cause) => failure = Some(cause),
            }
            let is_recent = self.clock.now().since(sent_at) < MAX_WATCH_AGE;
            failure.is_none() && is_recent && !self.stop.load(Ordering::Acquire)
        };
        let request = WatchRequest {
            prefix: RecordKeys::WATCHED,
            after: revision,
            wait: WATCH_WAIT,
            is_wanted: &|| !stop.load(Ordering::Acquire),
        };
        let watch_result = service.watch(request, &mut handle_batch);
        match (watch_result, failure) {
            (Ok(()), None) => Ok(()),
            (_, Some(cause)) => Err(cause),
            (Err(error), None) => Err(error.to_string()),
        }
    }

    /// Advances the revision to the newest change in the batch. The revision of the batch itself
    /// may be ahead of changes that were not delivered yet.
    fn update_revision(&mut self, batch: &WatchBatch) {
        let newest = batch.changes.iter().map(|value| value.revision).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    fn handle_value(
        &mut self,
        value: &StoredValue,
        handle: &impl Fn(StateChange),
    ) -> Result<(), String> {
        let Some(bytes) = &value.value else { return Ok(()) };
        if value.key == RecordKeys::CONFIG_HEAD {
            return self.update_config(handle);
        }
        if value.key.starts_with(RecordKeys::HOLDERS) {
            let record = decode_record(bytes).map(StateChange::Holder);
            record.map(handle).map_err(|error| error.to_string())
        } else if value.key.starts_with(RecordKeys::MEMBERS) {
            let record = decode_record(bytes).map(StateChange::Member);
            record.map(handle).map_err(|error| error.to_string())
        } else {
            Ok(())
        }
    }

    fn update_config(&mut self, handle: &impl Fn(StateChange)) -> Result<(), String> {
        match self.store.read(&self.config) {
            Ok(config) if config.head.version > self.config.head.version => {
                self.config = config.clone();
                handle(StateChange::Config(Box::new(config)));
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(error) => {
                if let ConfigStoreError::Damaged(cause) = &error {
                    log::error!("{} cause={cause:?}", EventCode::CONFIG_DAMAGED);
                }
                Err(error.to_string())
            }
        }
    }

    fn record_contact(&mut self, sent_at: MonoTime, handle: &impl Fn(StateChange)) {
        if !std::mem::replace(&mut self.has_contact, true) {
            log::info!("{}", EventCode::PLATFORM_BACK);
        }
        handle(StateChange::Contact(sent_at));
    }

    fn record_contact_lost(&mut self, cause: &str, handle: &impl Fn(StateChange)) {
        if std::mem::replace(&mut self.has_contact, false) {
            log::warn!("{} cause={cause:?}", EventCode::PLATFORM_LOST);
        }
        handle(StateChange::ContactLost);
    }
}
