//! Records of non-idempotent calls in the key-value service.
//!
//! An intent is the record of one such call, found by its idempotency key. It is written before the
//! call is made and later holds the response. The request that wrote it has the claim on it.

use std::sync::Arc;

use gentian_core::{RequestId, StoreRevision, TimeSpan};
use gentian_process::{KeyValueError, KeyValueService, RecordKeys, ValueChange, WriteCondition};
use gentian_wire::{decode_record, encode_record};
use serde::{Deserialize, Serialize};

use super::CallContext;

/// How long a record is stored.
const RECORD_TTL: TimeSpan = TimeSpan::from_secs(24 * 3_600);
/// Maximum size of a response body that is stored.
const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Number of attempts to write the response into the record.
const WRITE_ATTEMPTS: usize = 3;

/// A response that is replayed when the call is made again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    /// Status of the response.
    pub(crate) status: u16,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// Record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct IntentRecord {
    request: RequestId,
    body_digest: [u8; 32],
    answer: Option<StoredResponse>,
}

/// Claim on a recorded call: the right to make the call and to store its response.
#[derive(Clone, Debug)]
pub(crate) struct IntentClaim {
    key: String,
    record: IntentRecord,
    revision: StoreRevision,
}

/// Result of recording a call.
#[derive(Clone, Debug)]
pub(crate) enum IntentOutcome {
    /// The call is recorded now and has not run.
    New(IntentClaim),
    /// The call has run, with this response.
    Completed(StoredResponse),
    /// The call was recorded earlier; it is not known whether it ran.
    Unresolved,
    /// The idempotency key was used with a different body.
    BodyMismatch,
    /// The call cannot be recorded, for this reason.
    Unavailable(String),
}

/// Reads and writes records of non-idempotent calls.
#[derive(Clone)]
pub(crate) struct IntentStore {
    service: Arc<KeyValueService>,
}

impl IntentStore {
    /// Creates a store in `service`.
    pub(crate) fn new(service: Arc<KeyValueService>) -> Self {
        Self { service }
    }

    /// Records a call before it is made, or returns what an earlier record says.
    pub(crate) fn record_intent(&self, call: &CallContext, idempotency_key: &str) -> IntentOutcome {
        let Some(route) = &call.request.route else {
            return IntentOutcome::Unavailable("the request has no route".into());
        };
        let organisation = call.request.organisation.as_ref().map(|spec| &spec.id);
        let digest = blake3::hash(idempotency_key.as_bytes()).to_hex();
        let key = RecordKeys::intent(&route.id, organisation, &digest);
        let mut hasher = blake3::Hasher::new();
        for piece in call.body.pieces() {
            hasher.update(piece);
        }
        let body_digest = *hasher.finalize().as_bytes();
        let record = IntentRecord { request: call.id(), body_digest, answer: None };
        match self.write(&key, &record, StoreRevision::default()) {
            Ok(Some(revision)) => IntentOutcome::New(IntentClaim { key, record, revision }),
            Err(KeyValueError::NotExecuted(cause)) => IntentOutcome::Unavailable(cause),
            Ok(None) | Err(KeyValueError::Unknown(_)) => self.read_back(key, record),
        }
    }

    /// Stores the response of a call, which is replayed from then on. A response whose body exceeds
    /// the maximum size is not stored; a retry then gets 'outcome unknown'.
    pub(crate) fn store_response(&self, claim: IntentClaim, response: StoredResponse) {
        if response.body.len() > MAX_STORED_BODY_BYTES {
            return;
        }
        let record = IntentRecord { answer: Some(response), ..claim.record };
        for _ in 0..WRITE_ATTEMPTS {
            if self.write(&claim.key, &record, claim.revision).is_ok() {
                return;
            }
        }
        log::warn!(
            "cannot store the response of request {}; retries get 'outcome unknown'",
            record.request
        );
    }

    /// Deletes the record of a call that did not run.
    pub(crate) fn release(&self, claim: &IntentClaim) {
        let condition = WriteCondition { key: claim.key.clone(), revision: claim.revision };
        let change = ValueChange::Delete { key: claim.key.clone() };
        if let Err(error) = self.service.write(&[condition], &[change]) {
            log::warn!("cannot delete the record of request {}: {error}", claim.record.request);
        }
    }

    fn write(
        &self,
        key: &str,
        record: &IntentRecord,
        revision: StoreRevision,
    ) -> Result<Option<StoreRevision>, KeyValueError> {
        let value =
            encode_record(record).map_err(|error| KeyValueError::NotExecuted(error.to_string()))?;
        let condition = WriteCondition { key: key.to_owned(), revision };
        let change = ValueChange::Put { key: key.to_owned(), value, ttl: Some(RECORD_TTL) };
        self.service.write(&[condition], &[change])
    }

    /// Reads the record after a write that was not applied or has an unknown outcome.
    fn read_back(&self, key: String, own_record: IntentRecord) -> IntentOutcome {
        let stored = match self.service.read(&key) {
            Ok(Some(stored)) => stored,
            Ok(None) => return IntentOutcome::Unavailable("the record did not come about".into()),
            Err(error) => return IntentOutcome::Unavailable(error.to_string()),
        };
        let bytes = stored.value.unwrap_or_default();
        let Ok(found_record) = decode_record::<IntentRecord>(&bytes) else {
            return IntentOutcome::Unresolved;
        };
        if found_record.request == own_record.request {
            let revision = stored.revision;
            return IntentOutcome::New(IntentClaim { key, record: found_record, revision });
        }
        if found_record.body_digest != own_record.body_digest {
            return IntentOutcome::BodyMismatch;
        }
        found_record.answer.map_or(IntentOutcome::Unresolved, IntentOutcome::Completed)
    }
}
