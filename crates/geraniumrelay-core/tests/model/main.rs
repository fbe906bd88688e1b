//! Model checks of the core protocol: specifications, explored exhaustively, and the real claim
//! table and dispatcher against them.

mod dispatcher;
mod explore;
mod keys;
mod sheets;
mod tickets;
