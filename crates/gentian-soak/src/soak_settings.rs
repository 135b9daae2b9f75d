//! Settings of a run.

use std::path::PathBuf;

use gentian_core::{RequestRate, TimeSpan};

use crate::FaultPlan;
use crate::fleet_layout::MODELS;

/// Answers of each replica that have the fault of the settings.
const FAULTY_ANSWERS: u64 = 8;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and the calls.
    pub seed: u64,
    /// Seconds during which faults are injected.
    pub seconds: u64,
    /// Which faults are injected.
    pub fault_plan: FaultPlan,
    /// Number of entries.
    pub entries: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of further callers that leave their connection open for seconds between two calls.
    pub idle_callers: usize,
    /// Percentage of streams whose prompt holds a part on which engines crash.
    pub crash_percent: u32,
    /// Percentage of calls that are repeats of one request of their kind, on which replicas crash.
    pub crash_request_percent: u32,
    /// Percentage of calls with a body that have a long one.
    pub long_upload_percent: u32,
    /// Number of models that streams need; all engines hold them if these are few.
    pub models: usize,
    /// Time between two events of a stream.
    pub event_time: Option<TimeSpan>,
    /// Fault that the first answers of these replicas have.
    pub answer_fault: Option<String>,
    /// Number of answers of each replica that have it.
    pub faulty_answers: u64,
    /// Replicas with that fault; all of them if this is `None`.
    pub faulty_replicas: Option<Vec<usize>>,
    /// Requests a second that each replica names as the limit for all entries together.
    pub request_limit: Option<RequestRate>,
    /// Requests that each replica runs concurrently.
    pub slots: Option<u64>,
    /// Whether the deployment has the duty to report usage.
    pub has_duties: bool,
    /// Folder with the compiled programs.
    pub programs: PathBuf,
    /// Folder for settings, logs and journals; its previous content is deleted.
    pub folder: PathBuf,
}

impl SoakSettings {
    /// Creates the settings of a run without faults: three entries, six callers and two more that
    /// are idle for seconds between two calls.
    pub fn new(seed: u64, programs: PathBuf, folder: PathBuf) -> Self {
        Self {
            seed,
            seconds: 0,
            fault_plan: FaultPlan::default(),
            entries: 3,
            callers: 6,
            idle_callers: 2,
            crash_percent: 0,
            crash_request_percent: 0,
            long_upload_percent: 0,
            models: MODELS.len(),
            event_time: None,
            answer_fault: None,
            faulty_answers: FAULTY_ANSWERS,
            faulty_replicas: None,
            request_limit: None,
            slots: None,
            has_duties: false,
            programs,
            folder,
        }
    }

    /// Sets the seconds during which faults are injected.
    pub fn with_seconds(self, seconds: u64) -> Self {
        Self { seconds, ..self }
    }

    /// Sets which faults are injected.
    pub fn with_fault_plan(self, fault_plan: FaultPlan) -> Self {
        Self { fault_plan, ..self }
    }

    /// Sets the number of entries and of concurrent callers.
    pub fn with_size(self, entries: usize, callers: usize) -> Self {
        Self { entries, callers, ..self }
    }

    /// Sets the number of callers that are idle for seconds between two calls.
    pub fn with_idle_callers(self, idle_callers: usize) -> Self {
        Self { idle_callers, ..self }
    }

    /// Sets the percentage of streams whose prompt holds a part on which engines crash.
    pub fn with_crash_percent(self, crash_percent: u32) -> Self {
        Self { crash_percent, ..self }
    }

    /// Sets the percentage of calls that are repeats of one request of their kind, on which replicas
    /// crash.
    pub fn with_crash_request_percent(self, crash_request_percent: u32) -> Self {
        Self { crash_request_percent, ..self }
    }

    /// Sets the percentage of calls with a body that have a long one.
    pub fn with_long_upload_percent(self, long_upload_percent: u32) -> Self {
        Self { long_upload_percent, ..self }
    }

    /// Sets the number of models that streams need.
    pub fn with_models(self, models: usize) -> Self {
        Self { models, ..self }
    }

    /// Sets the time between two events of a stream.
    pub fn with_event_time(self, event_time: TimeSpan) -> Self {
        Self { event_time: Some(event_time), ..self }
    }

    /// Sets the fault that the first answers of each replica have, or of those of
    /// [`Self::with_faulty_replicas`].
    pub fn with_answer_fault(self, name: impl Into<String>) -> Self {
        Self { answer_fault: Some(name.into()), ..self }
    }

    /// Sets how many answers of each replica have the fault.
    pub fn with_faulty_answers(self, faulty_answers: u64) -> Self {
        Self { faulty_answers, ..self }
    }

    /// Sets the number of requests that each replica runs concurrently.
    pub fn with_slots(self, slots: u64) -> Self {
        Self { slots: Some(slots), ..self }
    }

    /// Sets which replicas have the fault.
    pub fn with_faulty_replicas(self, replicas: impl Into<Vec<usize>>) -> Self {
        Self { faulty_replicas: Some(replicas.into()), ..self }
    }

    /// Gives the deployment the duty to report usage.
    pub fn with_duties(self) -> Self {
        Self { has_duties: true, ..self }
    }

    /// Sets the limit that each replica names.
    pub fn with_request_limit(self, limit: RequestRate) -> Self {
        Self { request_limit: Some(limit), ..self }
    }
}
