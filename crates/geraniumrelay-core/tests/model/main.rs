//! Model checks of the core protocol: specifications, explored exhaustively, and the real claim
//! table and dispatcher against them.

mod dispatcher;
mod explore;
mod hand_over;
mod hand_over_seen;
mod hand_over_world;
mod keys;
mod sheets;
mod tickets;
