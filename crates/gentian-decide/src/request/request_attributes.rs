//! What a front end found in a request.

use gentian_core::TokenCount;

/// Facts of a request that the filters need, free of its encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Path without the query.
    pub path: String,
    /// Whether the method may be repeated without a second effect.
    pub is_idempotent: bool,
    /// Model or adapter asked for; `None` for a plain call.
    pub model: Option<String>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Most tokens that the answer may have; `None` if the caller set no limit.
    pub max_tokens: Option<TokenCount>,
    /// Key that makes repeats of the call recognisable.
    pub idempotency_key: Option<String>,
}
