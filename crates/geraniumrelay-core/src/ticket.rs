//! Tickets: submission ids that identify the incarnation that owns the submission.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use derive_more::{Display, Error};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::names::DataCentre;

/// Random id of one run of an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Secret key of one incarnation's tickets, so that callers can't forge tickets.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct TicketKey(pub [u8; 16]);

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

/// Id of one submission: data centre, owner, sequence number and keyed hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{data_centre}.{incarnation}.{seq:x}.{mac:032x}")]
pub struct Ticket {
    /// Data centre of the owner.
    pub data_centre: DataCentre,
    /// Owner: the incarnation that issued the ticket. It alone may start the tasks, unless it has
    /// handed its claims over.
    pub incarnation: Incarnation,
    /// Sequence number among the owner's tickets, from 1.
    pub seq: u64,
    mac: u128,
}

/// Error for a text that is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a ticket has the form data-centre.owner.sequence.hash")]
pub struct TicketError;

impl Ticket {
    fn new(data_centre: DataCentre, incarnation: Incarnation, seq: u64, key: &TicketKey) -> Self {
        let mac = mac_of(data_centre, incarnation, seq, key);
        Self {
            data_centre,
            incarnation,
            seq,
            mac,
        }
    }

    /// Whether this ticket was issued with `key`.
    pub fn is_genuine(&self, key: &TicketKey) -> bool {
        self.mac == mac_of(self.data_centre, self.incarnation, self.seq, key)
    }
}

fn mac_of(data_centre: DataCentre, incarnation: Incarnation, seq: u64, key: &TicketKey) -> u128 {
    let mut hasher = SipHasher24::new_with_key(&key.0);
    hasher.write(data_centre.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write_u64(incarnation.0);
    hasher.write_u64(seq);
    hasher.finish128().as_u128()
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(TicketError);
        let data_centre = next()?.parse().map_err(|_| TicketError)?;
        let incarnation = parse_hex(next()?, 16)?;
        let seq = parse_hex(next()?, 16)?;
        let mac = parse_hex(next()?, 32)?;
        if parts.next().is_some() {
            return Err(TicketError);
        }
        let incarnation = u64::try_from(incarnation).map_err(|_| TicketError)?;
        let seq = u64::try_from(seq).map_err(|_| TicketError)?;
        Ok(Self {
            data_centre,
            incarnation: Incarnation(incarnation),
            seq,
            mac,
        })
    }
}

fn parse_hex(text: &str, max_digits: usize) -> Result<u128, TicketError> {
    let is_hex = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if text.is_empty() || text.len() > max_digits || !is_hex {
        return Err(TicketError);
    }
    u128::from_str_radix(text, 16).map_err(|_| TicketError)
}

/// Issues the tickets of one incarnation; shared by the threads that serve callers' connections.
#[derive(Debug, Clone)]
pub struct TicketMint {
    inner: Arc<MintInner>,
}

#[derive(Debug)]
struct MintInner {
    data_centre: DataCentre,
    incarnation: Incarnation,
    key: TicketKey,
    next_seq: AtomicU64,
    is_closed: AtomicBool,
}

impl TicketMint {
    /// Creates the mint of a new incarnation; the first ticket gets sequence number 1.
    pub fn new(data_centre: DataCentre, incarnation: Incarnation, key: TicketKey) -> Self {
        let inner = MintInner {
            data_centre,
            incarnation,
            key,
            next_seq: AtomicU64::new(1),
            is_closed: AtomicBool::new(false),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Issues one ticket; `None` once the mint is closed.
    pub fn mint(&self) -> Option<Ticket> {
        if self.inner.is_closed.load(Ordering::SeqCst) {
            return None;
        }
        let seq = self.inner.next_seq.fetch_add(1, Ordering::SeqCst);
        Some(Ticket::new(
            self.inner.data_centre,
            self.inner.incarnation,
            seq,
            &self.inner.key,
        ))
    }

    /// Stops issuing tickets.
    pub fn close(&self) {
        self.inner.is_closed.store(true, Ordering::SeqCst);
    }

    /// Sequence number of the next ticket.
    pub fn next_seq(&self) -> u64 {
        self.inner.next_seq.load(Ordering::SeqCst)
    }

    /// Secret key of the incarnation.
    pub fn key(&self) -> TicketKey {
        self.inner.key
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mint() -> TicketMint {
        TicketMint::new(
            "szeged".parse().unwrap(),
            Incarnation(7),
            TicketKey([3; 16]),
        )
    }

    #[test]
    fn a_ticket_round_trips_through_text() {
        let ticket = mint().mint().unwrap();
        assert_eq!(ticket.to_string().parse(), Ok(ticket));
        assert!(ticket.is_genuine(&TicketKey([3; 16])));
    }

    #[test]
    fn a_guessed_ticket_is_not_genuine() {
        let ticket = mint().mint().unwrap();
        let guess = Ticket {
            seq: ticket.seq + 1,
            ..ticket
        };
        assert!(!guess.is_genuine(&TicketKey([3; 16])));
    }

    #[test]
    fn a_closed_mint_issues_no_tickets() {
        let mint = mint();
        mint.close();
        assert_eq!(mint.mint(), None);
    }

    #[test]
    fn malformed_tickets_are_rejected() {
        for text in [
            "",
            "szeged",
            "szeged.7.1",
            "szeged.7.+1.3",
            "szeged.7.1.3.4",
            "S.7.1.3",
        ] {
            assert_eq!(text.parse::<Ticket>(), Err(TicketError), "{text}");
        }
    }
}
