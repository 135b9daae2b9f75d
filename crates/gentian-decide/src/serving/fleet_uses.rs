//! What the hub knows of the use of all entries.

use gentian_core::peer::{FleetUse, UseHistory, UseTrace};
use gentian_core::{FenceNumber, InstanceId, MonoTime, OrganisationId, TimeSpan, VmId};

use super::{QuotaLimit, UseLedger, UsePush, UseTracer};

/// The account of the use, with the decisions on what is told to whom, and when it is stored.
#[derive(Debug)]
pub struct FleetUses {
    ledger: UseLedger,
    tracer: UseTracer,
    push: UsePush,
}

impl FleetUses {
    /// Creates the account of a new hub; `window` is the one in which quotas are counted.
    pub fn new(window: TimeSpan) -> Self {
        Self { ledger: UseLedger::new(window), tracer: UseTracer::new(), push: UsePush::new() }
    }

    /// Records that a process used tokens.
    pub fn record_use(
        &mut self,
        process: (&VmId, InstanceId),
        organisation: &OrganisationId,
        tokens: u64,
        now: MonoTime,
    ) {
        self.ledger.record_use(process, organisation, tokens, now);
        self.tracer.record_use(organisation, tokens);
        self.push.record_use(organisation, tokens, now);
    }

    /// Applies what an entry says that it used before it knew this hub, and returns what all others
    /// used.
    pub fn handle_history(
        &mut self,
        history: &UseHistory,
        hub: InstanceId,
        fence: FenceNumber,
        now: MonoTime,
    ) -> FleetUse {
        self.ledger.record_history(history, now);
        self.ledger.fleet_use((&history.vm, history.instance), hub, fence, now)
    }

    /// Returns the trace that is due to be stored.
    pub fn next_trace(
        &mut self,
        limit: impl Fn(&OrganisationId) -> Option<QuotaLimit>,
        entry_count: u32,
        now: MonoTime,
    ) -> Option<UseTrace> {
        if self.ledger.known_entries() < entry_count as usize {
            return None;
        }
        self.tracer.is_due(limit, now).then(|| self.ledger.trace(now))
    }

    /// Returns which of these organisations all entries are to be told about at once: each entry
    /// would ask for itself within `horizon`.
    pub fn urgent_organisations<'a>(
        &mut self,
        organisations: impl Iterator<Item = &'a OrganisationId>,
        limit: impl Fn(&OrganisationId) -> Option<QuotaLimit>,
        entries_and_horizon: (usize, TimeSpan),
        now: MonoTime,
    ) -> Vec<OrganisationId> {
        let (ledger, push) = (&self.ledger, &mut self.push);
        let is_urgent = |organisation: &&OrganisationId| {
            let window_use = || ledger.window_use(organisation, now);
            limit(organisation).is_some_and(|limit| {
                push.is_due(organisation, &limit, window_use, entries_and_horizon, now)
            })
        };
        organisations.filter(is_urgent).cloned().collect()
    }
}
