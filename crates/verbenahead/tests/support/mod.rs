//! Fixtures shared by the tests of this package.

#![allow(dead_code)]

pub mod chat;
pub mod cluster;
pub mod scripted_engine;
pub mod serving;
pub mod single_node;
