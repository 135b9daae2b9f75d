//! Records of non-idempotent calls in the key-value service.

use std::sync::Arc;

use gentian_core::{RequestId, SequenceNumber, TimeSpan};
use gentian_process::{KeyValueError, KeyValueService, RecordKeys, ValueChange, WriteCondition};
use gentian_wire::{decode_record, encode_record};
use serde::{Deserialize, Serialize};

use super::CallContext;

/// Time for which a record is kept.
const RECORD_LIFE: TimeSpan = TimeSpan::from_secs(24 * 3_600);
/// Largest answer that is kept, in bytes.
const KEPT_LIMIT: usize = 64 << 10;
/// Attempts to write the answer into the record.
const KEEP_ATTEMPTS: usize = 3;

/// An answer that repeats of the call get.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptAnswer {
    /// Status of the answer.
    pub(crate) status: u16,
    /// Type of its body.
    pub(crate) content_type: String,
    /// Its body.
    pub(crate) body: Vec<u8>,
}

/// What is recorded of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct IntentRecord {
    request: RequestId,
    body_digest: [u8; 32],
    answer: Option<KeptAnswer>,
}

/// The right to make a recorded call, and to keep its answer.
#[derive(Clone, Debug)]
pub(crate) struct IntentTicket {
    key: String,
    record: IntentRecord,
    revision: SequenceNumber,
}

/// What the record of a call says.
#[derive(Clone, Debug)]
pub(crate) enum IntentOutcome {
    /// The call was recorded and has not run.
    New(IntentTicket),
    /// The call ran and this is its answer.
    Kept(KeptAnswer),
    /// The call was begun and its outcome is not known.
    Begun,
    /// The key was used with another body.
    Reused,
    /// The service does not answer.
    Unavailable(String),
}

/// Reads and writes records of non-idempotent calls.
#[derive(Clone)]
pub(crate) struct IntentStore {
    service: Arc<KeyValueService>,
}

impl IntentStore {
    /// Creates a store on `service`.
    pub(crate) fn new(service: Arc<KeyValueService>) -> Self {
        Self { service }
    }

    /// Records a call before it is made.
    pub(crate) fn begin(&self, call: &CallContext, idempotency_key: &str) -> IntentOutcome {
        let Some(route) = &call.request.route else {
            return IntentOutcome::Unavailable("the request has no route".into());
        };
        let organisation = call.request.organisation.as_ref().map(|spec| &spec.id);
        let digest = blake3::hash(idempotency_key.as_bytes()).to_hex();
        let key = RecordKeys::intent(&route.id, organisation, &digest);
        let body_digest = *blake3::hash(&call.body).as_bytes();
        let record = IntentRecord { request: call.id(), body_digest, answer: None };
        match self.write(&key, &record, SequenceNumber::default()) {
            Ok(Some(revision)) => IntentOutcome::New(IntentTicket { key, record, revision }),
            Err(KeyValueError::NotSent(cause)) => IntentOutcome::Unavailable(cause),
            Ok(None) | Err(KeyValueError::Unknown(_)) => self.read_back(key, record),
        }
    }

    /// Keeps the answer of a call; repeats get it from then on.
    pub(crate) fn keep(&self, ticket: IntentTicket, answer: KeptAnswer) {
        if answer.body.len() > KEPT_LIMIT {
            return;
        }
        let record = IntentRecord { answer: Some(answer), ..ticket.record };
        for _ in 0..KEEP_ATTEMPTS {
            if self.write(&ticket.key, &record, ticket.revision).is_ok() {
                return;
            }
        }
        log::warn!("answer of request {} not kept; repeats get 'outcome unknown'", record.request);
    }

    /// Deletes the record of a call that did not run.
    pub(crate) fn release(&self, ticket: &IntentTicket) {
        let condition = WriteCondition { key: ticket.key.clone(), revision: ticket.revision };
        let change = ValueChange::Delete { key: ticket.key.clone() };
        if let Err(error) = self.service.write(&[condition], &[change]) {
            log::warn!("record of request {} not released: {error}", ticket.record.request);
        }
    }

    fn write(
        &self,
        key: &str,
        record: &IntentRecord,
        revision: SequenceNumber,
    ) -> Result<Option<SequenceNumber>, KeyValueError> {
        let value =
            encode_record(record).map_err(|error| KeyValueError::NotSent(error.to_string()))?;
        let condition = WriteCondition { key: key.to_owned(), revision };
        let change = ValueChange::Put { key: key.to_owned(), value, ttl: Some(RECORD_LIFE) };
        self.service.write(&[condition], &[change])
    }

    fn read_back(&self, key: String, own: IntentRecord) -> IntentOutcome {
        let stored = match self.service.read(&key) {
            Ok(Some(stored)) => stored,
            Ok(None) => return IntentOutcome::Unavailable("the record did not come about".into()),
            Err(error) => return IntentOutcome::Unavailable(error.to_string()),
        };
        let bytes = stored.value.unwrap_or_default();
        let Ok(found) = decode_record::<IntentRecord>(&bytes) else {
            return IntentOutcome::Begun;
        };
        if found.request == own.request {
            let revision = stored.revision;
            return IntentOutcome::New(IntentTicket { key, record: found, revision });
        }
        if found.body_digest != own.body_digest {
            return IntentOutcome::Reused;
        }
        found.answer.map_or(IntentOutcome::Begun, IntentOutcome::Kept)
    }
}
