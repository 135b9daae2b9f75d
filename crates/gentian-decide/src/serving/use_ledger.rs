//! The hub's account of what each entry used within the window of quotas.

use gentian_core::peer::{FleetUse, OrganisationUse, UseHistory, UseTrace};
use gentian_core::{
    FastMap, FastSet, FenceNumber, InstanceId, MonoTime, OrganisationId, TimeSpan, VmId,
};

use super::use_window::UseWindow;

/// Fraction of the window within which uses of one process count as one.
const JOINED_FRACTION: f64 = 1.0 / 32.0;

/// Who used tokens: a process, or earlier ones on its VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum UseSource {
    Process(VmId, InstanceId),
    EarlierProcesses(VmId),
}

/// Collects what the entries used. A new hub asks each of them for its use in the window, so that what
/// the former hub knew is known again, and entries need not presume it.
#[derive(Debug)]
pub struct UseLedger {
    window: TimeSpan,
    /// Uses within the window: at most one per process that ran within it, and two per VM.
    uses: FastMap<UseSource, FastMap<OrganisationId, UseWindow>>,
    known_vms: FastSet<VmId>,
}

impl UseLedger {
    /// Creates the ledger of a new hub; `window` is the one in which quotas are counted.
    pub fn new(window: TimeSpan) -> Self {
        Self { window, uses: FastMap::default(), known_vms: FastSet::default() }
    }

    /// Applies what an entry says that it used; it replaces what was recorded of its process.
    pub fn record_history(&mut self, history: &UseHistory, now: MonoTime) {
        self.prune(now);
        let window = self.window;
        let read = |uses: &[OrganisationUse]| -> FastMap<OrganisationId, UseWindow> {
            let read_one = |it: &OrganisationUse| {
                (it.organisation.clone(), UseWindow::from_slices(&it.slices, window, now))
            };
            uses.iter().map(read_one).collect()
        };
        let process = UseSource::Process(history.vm.clone(), history.instance);
        self.uses.insert(process, read(&history.uses));
        // What is known of earlier processes is exact.
        if self.known_vms.insert(history.vm.clone()) {
            let earlier = UseSource::EarlierProcesses(history.vm.clone());
            self.uses.insert(earlier, read(&history.earlier_uses));
        }
    }

    /// Records that a process used tokens.
    pub fn record_use(
        &mut self,
        (vm, instance): (&VmId, InstanceId),
        organisation: &OrganisationId,
        tokens: u64,
        now: MonoTime,
    ) {
        if tokens == 0 {
            return;
        }
        let uses = self.uses.entry(UseSource::Process(vm.clone(), instance)).or_default();
        let uses = uses.entry(organisation.clone()).or_default();
        uses.prune(self.window, now);
        uses.add_joined(tokens as f64, self.window * JOINED_FRACTION, now);
    }

    /// Returns what all others than this process used.
    pub fn fleet_use(
        &mut self,
        (vm, instance): (&VmId, InstanceId),
        hub: InstanceId,
        fence: FenceNumber,
        now: MonoTime,
    ) -> FleetUse {
        self.prune(now);
        let own = UseSource::Process(vm.clone(), instance);
        let is_earlier = |source: &UseSource| match source {
            UseSource::Process(other, _) | UseSource::EarlierProcesses(other) => other == vm,
        };
        FleetUse {
            hub,
            fence,
            known_entries: u32::try_from(self.known_entries()).unwrap_or(u32::MAX),
            uses: self.sum(|source| *source != own, now),
            earlier_uses: self.sum(|source| *source != own && is_earlier(source), now),
        }
    }

    /// Returns the number of entries whose use is known.
    pub fn known_entries(&self) -> usize {
        self.known_vms.len()
    }

    /// Returns what an organisation used.
    pub fn window_use(&self, organisation: &OrganisationId, now: MonoTime) -> f64 {
        let uses = self.uses.values().filter_map(|uses| uses.get(organisation));
        uses.map(|uses| uses.sum_since(self.window, now)).sum()
    }

    /// Returns the use of all entries.
    pub fn trace(&mut self, now: MonoTime) -> UseTrace {
        self.prune(now);
        UseTrace { uses: self.sum(|_| true, now) }
    }

    fn sum(&self, is_counted: impl Fn(&UseSource) -> bool, now: MonoTime) -> Vec<OrganisationUse> {
        let mut sums: FastMap<&OrganisationId, Vec<u64>> = FastMap::default();
        let counted = self.uses.iter().filter(|(source, _)| is_counted(source));
        for (organisation, uses) in counted.flat_map(|(_, uses)| uses) {
            uses.add_slices(sums.entry(organisation).or_default(), self.window, now);
        }
        let to_use = |(organisation, slices): (&OrganisationId, Vec<u64>)| OrganisationUse {
            organisation: organisation.clone(),
            slices,
        };
        sums.into_iter().map(to_use).collect()
    }

    fn prune(&mut self, now: MonoTime) {
        let window = self.window;
        self.uses.retain(|_, uses| {
            uses.values_mut().for_each(|it| it.prune(window, now));
            uses.retain(|_, it| !it.is_empty());
            !uses.is_empty()
        });
    }
}
