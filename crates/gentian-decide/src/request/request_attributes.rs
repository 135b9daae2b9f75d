//! Attributes of a request, as parsed by a front end.

use gentian_core::TokenCount;

/// Attributes of a request that the filters need, independent of its encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Path without the query string.
    pub path: String,
    /// Whether the request is idempotent, so that it may be sent again.
    pub is_idempotent: bool,
    /// Requested model or adapter; `None` for a call to a service without engines.
    pub model: Option<String>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Maximum number of tokens in the response; `None` if the caller set no limit.
    pub max_tokens: Option<TokenCount>,
    /// Key that identifies repeats of the same call.
    pub idempotency_key: Option<String>,
}
