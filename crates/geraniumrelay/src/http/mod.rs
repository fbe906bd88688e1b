//! HTTP server for callers: requests, health checks and metrics.
//!
//! One thread runs all connections on a current-thread runtime, so a request that waits for its
//! answer occupies no thread. Handlers must therefore not block.

mod body;
mod jobs;
mod keys;
mod listener;
mod params;
mod problem;
mod response;
mod server;
mod teams;

pub use body::BodyLimits;
pub use listener::HttpServer;
pub use server::CallerApi;
