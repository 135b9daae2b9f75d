//! Thread pools for blocking calls.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use gentian_config::{ConfigSet, UpstreamSpec};
use gentian_core::peer::{SeatId, SeatRecord};
use gentian_core::{MonoTime, StoreRevision};
use gentian_decide::placement::{OrderOutcome, PlacementOrder};
use gentian_decide::seat::WriteOutcome;
use gentian_http::WorkerPool;
use gentian_process::{ProcessClock, SeatStore};

use super::engine_calls;
use crate::control::{ControlEvent, send_event};

const SEAT_THREADS: usize = 16;
const STATUS_THREADS: usize = 64;
const ORDER_THREADS: usize = 64;

/// Makes blocking calls and sends their results to the control thread.
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

    /// Updates the configuration with which names of objects are decoded.
    pub(crate) fn update(&mut self, set: Arc<ConfigSet>) {
        self.set = set;
    }

    /// Reads the record of a seat. If no thread is free, the read fails at once.
    pub(crate) fn read_seat(&mut self, seat: SeatId) {
        let (store, control) = (self.store.clone(), self.control.clone());
        let job = move || {
            send_event(&control, ControlEvent::SeatRead(seat, store.read(seat)));
        };
        if !self.seats.run(job) {
            send_event(&self.control, ControlEvent::SeatRead(seat, None));
        }
    }

    /// Writes the record of a seat. If no thread is free, it is not sent and its outcome is
    /// reported as unknown, because a write that was not applied would count as contact with the
    /// key-value service.
    pub(crate) fn write_seat(
        &mut self,
        record: SeatRecord,
        expected: StoreRevision,
        is_new_holder: bool,
    ) {
        let (store, control, seat) = (self.store.clone(), self.control.clone(), record.seat);
        let job = move || {
            let outcome = store.write(&record, expected, is_new_holder);
            send_event(&control, ControlEvent::SeatWrite(seat, outcome));
        };
        if !self.seats.run(job) {
            send_event(&self.control, ControlEvent::SeatWrite(seat, WriteOutcome::Unknown));
        }
    }

    /// Starts a status call to an upstream; returns `false` if no thread is free.
    pub(crate) fn poll_status(&mut self, spec: &UpstreamSpec, now: MonoTime) -> bool {
        let (control, set) = (self.control.clone(), Arc::clone(&self.set));
        let (upstream, address) = (spec.id.clone(), spec.address);
        self.statuses.run(move || {
            let report = engine_calls::fetch_status(&set, &upstream, address);
            send_event(&control, ControlEvent::Report(upstream, report, now));
        })
    }

    /// Sends an order to an engine. An order that is too old to be sent gets an unknown outcome.
    pub(crate) fn send_order(&mut self, order: PlacementOrder, address: SocketAddr) {
        let control = self.control.clone();
        let (upstream, id) = (order.upstream.clone(), order.id);
        let clock = self.clock;
        let job = move || {
            let outcome = match order.may_be_sent(clock.now()) {
                true => engine_calls::send_order(&order, address),
                false => OrderOutcome::Unknown,
            };
            send_event(&control, ControlEvent::OrderFinished(order.upstream, order.id, outcome));
        };
        if !self.orders.run(job) {
            // No thread was free, so the order was not sent.
            send_event(
                &self.control,
                ControlEvent::OrderFinished(upstream, id, OrderOutcome::Refused),
            );
        }
    }

    /// Waits until all calls have ended.
    pub(crate) fn join(self) {
        self.seats.join();
        self.statuses.join();
        self.orders.join();
    }
}
