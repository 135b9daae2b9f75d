//! Controllers that update the state of a control thread.

use gentian_core::MonoTime;

type StepFn<S, E> = Box<dyn Fn(&mut S, &E, MonoTime) + Send>;

/// A named function that updates the state `S` of the control thread on each event `E`.
pub struct StateController<S, E> {
    name: &'static str,
    step: StepFn<S, E>,
}

impl<S, E> StateController<S, E> {
    /// Creates a controller; `name` appears in `/status`.
    pub fn new(name: &'static str, step: impl Fn(&mut S, &E, MonoTime) + Send + 'static) -> Self {
        Self { name, step: Box::new(step) }
    }
}

/// Controllers in the order in which they handle each event.
pub struct ControllerSet<S, E> {
    controllers: Vec<StateController<S, E>>,
}

impl<S, E> ControllerSet<S, E> {
    /// Creates a set without controllers.
    pub const fn new() -> Self {
        Self { controllers: Vec::new() }
    }

    /// Appends a controller.
    pub fn with_controller(mut self, controller: StateController<S, E>) -> Self {
        self.controllers.push(controller);
        self
    }

    /// Returns the names of the controllers in their order.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.controllers.iter().map(|controller| controller.name)
    }

    /// Runs each controller on `event`.
    pub fn step(&self, state: &mut S, event: &E, now: MonoTime) {
        self.controllers.iter().for_each(|controller| (controller.step)(state, event, now));
    }
}

impl<S, E> Default for ControllerSet<S, E> {
    fn default() -> Self {
        Self::new()
    }
}
