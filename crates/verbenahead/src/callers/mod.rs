//! The HTTP API for callers: model requests, calls to plain services and resumed answers.

pub mod acceptance;
pub mod answer_body;
pub mod auth;
pub mod body;
pub mod chat;
pub mod completions;
pub mod ledger_answer;
pub mod problem;
pub mod resume;
pub mod router;
pub mod services;

pub use problem::{Problem, ProblemKind};
pub use router::router;
