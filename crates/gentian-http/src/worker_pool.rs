//! Bounded thread pool; it starts threads on demand, up to a limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};

use crate::join_threads;

/// A job that one thread runs.
type PoolJob = Box<dyn FnOnce() + Send>;

const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Idle time after which a thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pool that runs each job on an idle thread, or on a new one up to the limit.
///
/// The channel has no capacity, so that a job is never queued.
pub struct WorkerPool {
    limit: usize,
    jobs: Sender<PoolJob>,
    receiver: Receiver<PoolJob>,
    thread_count: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl WorkerPool {
    /// Creates a pool with at most `limit` threads.
    pub fn new(limit: usize) -> Self {
        let (jobs, receiver) = flume::bounded(0);
        Self { limit, jobs, receiver, thread_count: Arc::default(), threads: Vec::new() }
    }

    /// Runs `job`; returns `false` without running it if no thread is idle and another cannot be
    /// started, for example because the limit is reached.
    pub fn run(&mut self, job: impl FnOnce() + Send + 'static) -> bool {
        let job: PoolJob = Box::new(job);
        match self.jobs.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.start(job),
        }
    }

    /// Waits until every job has finished.
    pub fn join(self) {
        drop(self.jobs);
        join_threads(self.threads);
    }

    fn start(&mut self, job: PoolJob) -> bool {
        self.join_finished();
        if self.thread_count.load(Ordering::Acquire) >= self.limit {
            return false;
        }
        let (receiver, thread_count) = (self.receiver.clone(), Arc::clone(&self.thread_count));
        thread_count.fetch_add(1, Ordering::AcqRel);
        let work = move || {
            job();
            while let Ok(job) = receiver.recv_timeout(IDLE_TIMEOUT) {
                job();
            }
            thread_count.fetch_sub(1, Ordering::AcqRel);
        };
        let builder =
            std::thread::Builder::new().name("traffic".into()).stack_size(THREAD_STACK_BYTES);
        match builder.spawn(work) {
            Ok(thread) => {
                self.threads.push(thread);
                true
            }
            Err(_) => {
                self.thread_count.fetch_sub(1, Ordering::AcqRel);
                false
            }
        }
    }

    fn join_finished(&mut self) {
        let threads = std::mem::take(&mut self.threads);
        let (ended, live): (Vec<_>, Vec<_>) =
            threads.into_iter().partition(|thread| thread.is_finished());
        self.threads = live;
        join_threads(ended);
    }
}
