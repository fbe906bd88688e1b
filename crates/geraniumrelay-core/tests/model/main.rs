//! Model checks of the core protocol: specifications that are explored exhaustively, and property
//! tests of the claim table and the dispatcher against the specification.

mod dispatcher;
mod explore;
mod hand_over;
mod hand_over_seen;
mod hand_over_world;
mod keys;
mod sheets;
mod tickets;
