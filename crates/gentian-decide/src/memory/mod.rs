//! How a process divides the memory of its VM.

mod memory_account;
mod memory_plan;
mod memory_use;

pub use memory_account::{MemoryAccount, WaitTicket};
pub use memory_plan::MemoryPlan;
pub use memory_use::MemoryUse;
