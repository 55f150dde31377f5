//! Fixtures shared by the tests of this package.

#![allow(dead_code)]

pub mod chat;
pub mod cluster;
pub mod lone_node;
pub mod scripted_engine;
pub mod serving;
