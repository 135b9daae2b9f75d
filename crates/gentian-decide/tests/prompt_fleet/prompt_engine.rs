//! Simulated engine: it reads prompts one after the other, keeps the parts that it has read while its
//! cache has room for them beside the running requests, and decodes all that are read.

use std::collections::VecDeque;

use gentian_core::RequestId;

/// Prompt tokens that an engine reads in a tick.
pub(crate) const READ_TOKENS_PER_TICK: f64 = 40.0;
/// Requests in one batch.
pub(crate) const BATCH_SLOTS: usize = 64;
/// Tokens that running requests and kept parts share.
pub(crate) const CACHE_TOKENS: u64 = 250_000;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct PromptRequest {
    pub(crate) id: RequestId,
    pub(crate) entry: usize,
    /// Model and digests of the shared parts with their tokens.
    pub(crate) model: usize,
    pub(crate) parts: Vec<(u64, u32)>,
    /// All tokens of the prompt, and of its own part alone.
    pub(crate) prompt_tokens: u32,
    /// Ticks of decoding.
    pub(crate) decode_ticks: u64,
    /// Tokens still to read; `None` before the reading begins.
    pub(crate) unread: Option<f64>,
    pub(crate) ends: Option<u64>,
}

#[derive(Clone, Debug)]
struct KeptPart {
    model: usize,
    /// Digests of the part and of all parts before it.
    chain: Vec<u64>,
    tokens: u32,
}

/// State of a simulated engine.
#[derive(Default)]
pub(crate) struct PromptEngine {
    pub(crate) requests: VecDeque<PromptRequest>,
    /// Parts in the order of their last use.
    kept: Vec<KeptPart>,
    /// Tokens of shared parts that were read.
    pub(crate) shared_read: u64,
    /// All tokens that were read.
    pub(crate) all_read: u64,
}

impl PromptEngine {
    /// Drops what the engine holds, as a restart does. The running requests stay, for simplicity.
    pub(crate) fn lose_parts(&mut self) {
        self.kept.clear();
    }

    /// Runs one tick; returns the requests whose first event is sent and those that ended.
    pub(crate) fn tick(&mut self, tick: u64) -> (Vec<PromptRequest>, Vec<PromptRequest>) {
        let mut first = Vec::new();
        let mut budget = READ_TOKENS_PER_TICK;
        for index in 0..self.requests.len().min(BATCH_SLOTS) {
            if self.requests[index].ends.is_some() || budget <= 0.0 {
                continue;
            }
            let mut unread = match self.requests[index].unread {
                Some(unread) => unread,
                None => self.begin(index),
            };
            let read = unread.min(budget);
            unread -= read;
            budget -= read;
            self.requests[index].unread = Some(unread);
            if unread <= 0.0 {
                let request = &mut self.requests[index];
                request.ends = Some(tick + request.decode_ticks);
                first.push(request.clone());
                let request = request.clone();
                self.keep(&request);
            }
        }
        let is_ended = |request: &PromptRequest| request.ends.is_some_and(|end| end <= tick);
        let ended = self.requests.iter().filter(|it| is_ended(it)).cloned().collect();
        self.requests.retain(|request| !is_ended(request));
        (first, ended)
    }

    fn begin(&mut self, index: usize) -> f64 {
        let request = self.requests[index].clone();
        let mut held = 0;
        for count in 1..=request.parts.len() {
            let chain: Vec<u64> = request.parts[..count].iter().map(|(part, _)| *part).collect();
            let is_held = |kept: &KeptPart| kept.model == request.model && kept.chain == chain;
            match self.kept.iter().position(is_held) {
                Some(position) => {
                    let kept = self.kept.remove(position);
                    held += kept.tokens;
                    self.kept.push(kept);
                }
                None => break,
            }
        }
        let shared: u32 = request.parts.iter().map(|(_, tokens)| tokens).sum();
        self.shared_read += u64::from(shared - held);
        self.all_read += u64::from(request.prompt_tokens - held);
        f64::from(request.prompt_tokens - held)
    }

    fn keep(&mut self, request: &PromptRequest) {
        for count in 1..=request.parts.len() {
            let chain: Vec<u64> = request.parts[..count].iter().map(|(part, _)| *part).collect();
            let tokens = request.parts[count - 1].1;
            let is_held = |kept: &KeptPart| kept.model == request.model && kept.chain == chain;
            if !self.kept.iter().any(is_held) {
                self.kept.push(KeptPart { model: request.model, chain, tokens });
            }
        }
        let running = self.requests.iter().take(BATCH_SLOTS).filter(|it| it.unread.is_some());
        let running: u64 = running.map(|request| u64::from(request.prompt_tokens)).sum();
        let mut kept: u64 = self.kept.iter().map(|kept| u64::from(kept.tokens)).sum();
        while running + kept > CACHE_TOKENS && !self.kept.is_empty() {
            let lost = self.kept.remove(0);
            let is_after = |other: &KeptPart| {
                other.model == lost.model && other.chain.starts_with(&lost.chain)
            };
            self.kept.retain(|other| !is_after(other));
            kept = self.kept.iter().map(|kept| u64::from(kept.tokens)).sum();
        }
    }
}
