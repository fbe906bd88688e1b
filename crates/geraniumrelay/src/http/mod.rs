//! HTTP intake: callers' requests, health and metrics.

mod body;
mod jobs;
mod keys;
mod problem;
mod server;

pub use server::{HttpServer, Intake};
