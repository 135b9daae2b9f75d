//! The chain of filters that each request passes through.

use gentian_core::MonoTime;

use super::FilterOutcome;

type ApplyFilter<C> = Box<dyn Fn(&mut C, MonoTime) -> FilterOutcome + Send + Sync>;

/// One filter of the chain, over a context `C`.
pub struct RequestFilter<C> {
    name: &'static str,
    apply: ApplyFilter<C>,
}

impl<C> RequestFilter<C> {
    /// Creates a filter; `name` appears in logs.
    pub fn new(
        name: &'static str,
        apply: impl Fn(&mut C, MonoTime) -> FilterOutcome + Send + Sync + 'static,
    ) -> Self {
        Self { name, apply: Box::new(apply) }
    }
}

/// Filters in the order in which they run.
pub struct FilterChain<C> {
    filters: Vec<RequestFilter<C>>,
}

impl<C> FilterChain<C> {
    /// Creates a chain without filters.
    pub const fn new() -> Self {
        Self { filters: Vec::new() }
    }

    /// Appends a filter.
    pub fn with_filter(mut self, filter: RequestFilter<C>) -> Self {
        self.filters.push(filter);
        self
    }

    /// Returns the names of the filters in their order.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.filters.iter().map(|filter| filter.name)
    }

    /// Runs the filters until one refuses or responds; `clock` returns the time passed to each.
    pub fn run(&self, context: &mut C, clock: impl Fn() -> MonoTime) -> FilterOutcome {
        for filter in &self.filters {
            let outcome = (filter.apply)(context, clock());
            if outcome != FilterOutcome::Continue {
                return outcome;
            }
        }
        FilterOutcome::Continue
    }
}

impl<C> Default for FilterChain<C> {
    fn default() -> Self {
        Self::new()
    }
}
