//! Pools of threads for calls that block.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use gentian_config::{ConfigSet, UpstreamSpec};
use gentian_core::peer::{SeatId, SeatRecord};
use gentian_core::{MonoTime, SequenceNumber};
use gentian_decide::placement::{OrderOutcome, PlacementOrder};
use gentian_decide::seat::WriteOutcome;
use gentian_http::WorkerPool;
use gentian_process::{ProcessClock, SeatStore};

use super::engine_calls;
use crate::control::{ControlEvent, pass_on};

const SEAT_THREADS: usize = 16;
const STATUS_THREADS: usize = 64;
const ORDER_THREADS: usize = 64;

/// Carries calls and hands their ends to the control thread.
pub(crate) struct IoThreads {
    control: Sender<ControlEvent>,
    store: SeatStore,
    clock: ProcessClock,
    set: Arc<ConfigSet>,
    seats: WorkerPool,
    statuses: WorkerPool,
    orders: WorkerPool,
}

impl IoThreads {
    /// Creates the pools.
    pub(crate) fn new(
        control: Sender<ControlEvent>,
        store: SeatStore,
        clock: ProcessClock,
    ) -> Self {
        Self {
            control,
            store,
            clock,
            set: Arc::default(),
            seats: WorkerPool::new(SEAT_THREADS),
            statuses: WorkerPool::new(STATUS_THREADS),
            orders: WorkerPool::new(ORDER_THREADS),
        }
    }

    /// Takes the configuration over by which names of objects are read.
    pub(crate) fn update(&mut self, set: Arc<ConfigSet>) {
        self.set = set;
    }

    /// Reads the record of a seat.
    pub(crate) fn read_seat(&mut self, seat: SeatId) {
        let (store, control) = (self.store.clone(), self.control.clone());
        let job = move || {
            pass_on(&control, ControlEvent::SeatRead(seat, store.read(seat)));
        };
        if !self.seats.run(job) {
            pass_on(&self.control, ControlEvent::SeatRead(seat, None));
        }
    }

    /// Writes the record of a seat.
    pub(crate) fn write_seat(
        &mut self,
        record: SeatRecord,
        expected: SequenceNumber,
        is_new_holder: bool,
    ) {
        let (store, control, seat) = (self.store.clone(), self.control.clone(), record.seat);
        let job = move || {
            let outcome = store.write(&record, expected, is_new_holder);
            pass_on(&control, ControlEvent::SeatWrite(seat, outcome));
        };
        if !self.seats.run(job) {
            pass_on(&self.control, ControlEvent::SeatWrite(seat, WriteOutcome::Unknown));
        }
    }

    /// Asks an upstream for its status; `false` if every thread is busy.
    pub(crate) fn poll_status(&mut self, spec: &UpstreamSpec, now: MonoTime) -> bool {
        let (control, set) = (self.control.clone(), Arc::clone(&self.set));
        let (upstream, address) = (spec.id.clone(), spec.address);
        self.statuses.run(move || {
            let report = engine_calls::read_status(&set, &upstream, address);
            pass_on(&control, ControlEvent::Report(upstream, report, now));
        })
    }

    /// Sends an order to an engine.
    pub(crate) fn send_order(&mut self, order: PlacementOrder, address: SocketAddr) {
        let control = self.control.clone();
        let (upstream, id) = (order.upstream.clone(), order.id);
        let clock = self.clock;
        let job = move || {
            let end = match order.may_be_sent(clock.now()) {
                true => engine_calls::send_order(&order, address),
                false => OrderOutcome::Unknown,
            };
            pass_on(&control, ControlEvent::OrderEnd(order.upstream, order.id, end));
        };
        if !self.orders.run(job) {
            // No thread was free, so the order was not sent.
            pass_on(&self.control, ControlEvent::OrderEnd(upstream, id, OrderOutcome::Refused));
        }
    }

    /// Waits until every call has ended.
    pub(crate) fn join(self) {
        self.seats.join();
        self.statuses.join();
        self.orders.join();
    }
}
