//! Parts of prompts that one engine likely still holds.
//!
//! Load pattern: many requests whose prompts begin alike, at entries that each see few of them, to
//! models with up to three copies.

use gentian_core::{ModelId, MonoTime, TimeSpan, TokenCount};

use super::{PrefixPart, SharedPrefix};

/// Largest number of parts that are remembered for each engine; the least recently used one makes way.
const MAX_PARTS: usize = 48;
/// Largest number of models whose load time is remembered for each engine.
const MAX_MODELS: usize = 64;
/// Probability that the engine which comes first for a part at every entry holds it, although this
/// entry has not used the part lately, in a fleet of many entries.
const HOME_PROBABILITY: f64 = 0.9;
/// Half-life of the doubt about that after the engine has loaded the model.
const LOAD_DOUBT_HALF_LIFE: TimeSpan = TimeSpan::from_millis(500);
/// A part is certainly held while less than this fraction of the free cache was taken since its last
/// use, and certainly not any more once [`LOST_FRACTION`] was taken. The amount is an estimate.
const HELD_FRACTION: f64 = 0.5;
const LOST_FRACTION: f64 = 1.5;
/// Weight of the newest request in the mean number of prompt tokens.
const NEWEST_REQUEST_WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    key: u64,
    last_used: MonoTime,
    /// Tokens that had been taken in the cache by then.
    taken: f64,
}

/// What an entry knows of the parts of prompts that one engine holds.
#[derive(Clone, Debug, Default)]
pub struct HeldPrompts {
    /// At most [`MAX_PARTS`].
    parts: Vec<HeldPart>,
    /// When this entry learned that a model was loaded; at most [`MAX_MODELS`].
    models: Vec<(ModelId, MonoTime)>,
    /// Tokens that requests of all entries have taken in the cache, estimated from those of this one.
    taken: f64,
    /// Mean prompt tokens of a request.
    mean_tokens: f64,
}

/// State of an engine on which it depends how much it holds.
#[derive(Clone, Copy, Debug)]
pub struct CacheState<'a> {
    /// Size of its cache.
    pub cache: TokenCount,
    /// Model of the request.
    pub model: &'a ModelId,
    /// Requests of all entries there.
    pub requests: f64,
    /// Whether it comes first for the prefix at every entry.
    pub is_home: bool,
    /// Fraction of the requests that other entries send.
    pub unseen_fraction: f64,
    /// Current time.
    pub now: MonoTime,
}

impl HeldPrompts {
    /// Records which models are loaded. What was held for any other is lost.
    pub fn update_models<'a>(
        &mut self,
        loaded: impl Iterator<Item = &'a ModelId> + Clone,
        now: MonoTime,
    ) {
        self.models.retain(|(model, _)| loaded.clone().any(|other| other == model));
        for model in loaded {
            let is_known = self.models.iter().any(|(known, _)| known == model);
            if !is_known && self.models.len() < MAX_MODELS {
                self.models.push((model.clone(), now));
            }
        }
    }

    /// Records that the engine has read a prompt of which `unread_tokens` were not held. This entry is
    /// one of `entries`.
    pub fn record_read(
        &mut self,
        prefix: Option<&SharedPrefix>,
        unread_tokens: u32,
        entries: u32,
        now: MonoTime,
    ) {
        let tokens = f64::from(unread_tokens);
        self.mean_tokens += (tokens - self.mean_tokens) * NEWEST_REQUEST_WEIGHT;
        self.taken += tokens * f64::from(entries.max(1));
        for part in prefix.into_iter().flat_map(|prefix| &prefix.parts) {
            self.parts.retain(|held| held.key != part.key);
            if self.parts.len() >= MAX_PARTS {
                // The parts are in the order of their last use.
                self.parts.remove(0);
            }
            self.parts.push(HeldPart { key: part.key, last_used: now, taken: self.taken });
        }
    }

    /// Forgets that a prefix was read.
    pub fn forget(&mut self, prefix: &SharedPrefix) {
        self.parts.retain(|held| prefix.parts.iter().all(|part| part.key != held.key));
    }

    /// Returns the expected number of tokens of a prefix that the engine holds. It holds a part only
    /// if it holds all parts before it.
    pub fn held_tokens(&self, prefix: &SharedPrefix, state: &CacheState<'_>) -> f64 {
        let cache = state.cache.get() as f64;
        let free = (cache - state.requests * self.mean_tokens).max(0.0);
        if free <= 0.0 {
            return 0.0;
        }
        let loaded = self.models.iter().find(|(model, _)| model == state.model);
        let loaded = loaded.map_or(MonoTime::ORIGIN, |(_, time)| *time);
        let home_probability = match state.is_home {
            true => {
                let age = state.now.since(loaded).as_secs_f64();
                let doubt = 0.5_f64.powf(age / LOAD_DOUBT_HALF_LIFE.as_secs_f64());
                HOME_PROBABILITY * state.unseen_fraction * (1.0 - doubt) * free / cache
            }
            false => 0.0,
        };
        let mut probability = 1.0_f64;
        let mut sum = 0.0;
        for part in &prefix.parts {
            let own = self.own_probability(part, loaded, free);
            probability = probability.min(own.max(home_probability));
            sum += probability * f64::from(part.tokens);
        }
        sum
    }

    /// Returns the age of what this entry knows of the last part of a prefix.
    pub fn age(&self, prefix: &SharedPrefix, now: MonoTime) -> Option<TimeSpan> {
        let key = prefix.parts.last()?.key;
        let held = self.parts.iter().find(|held| held.key == key)?;
        Some(now.since(held.last_used))
    }

    fn own_probability(&self, part: &PrefixPart, loaded: MonoTime, free: f64) -> f64 {
        let held = self.parts.iter().find(|held| held.key == part.key);
        let Some(held) = held.filter(|held| held.last_used >= loaded) else { return 0.0 };
        let taken = (self.taken - held.taken) / free;
        ((LOST_FRACTION - taken) / (LOST_FRACTION - HELD_FRACTION)).clamp(0.0, 1.0)
    }
}
