//! The adapter that speaks HTTP/1.1 with JSON and conditional requests (RFC 9110).

mod cloud;
mod object_store;
mod options;
mod platform;
mod table;
mod vm_list;
pub mod wire;

pub use options::HttpPlatformOptions;
pub use platform::HttpPlatform;
