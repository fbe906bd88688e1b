//! Submissions that a caller names by a key of its own, `POST /v1/jobs`.

use std::time::Duration;

use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{Clock, JobSpec, Origin, Reason, Rejection, Ticket, Verdict};
use geraniumrelay_platform::{KeyOutcome, RequestedBinding, key_row};
use geraniumrelay_wire::KeyBinding;
use hyper::HeaderMap;
use hyper::body::Incoming;

use crate::convert;
use crate::http::problem;
use crate::http::response::Response;
use crate::http::server::CallerApi;
use crate::requests::{Call, Overloaded};

/// Header that carries the key.
const KEY_HEADER: &str = "Idempotency-Key";

/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Wait before asking again for what needs the platform's table or another entry VM.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

impl<C: Clock> CallerApi<C> {
    /// `POST /v1/jobs`
    pub(super) async fn submit_by_key(
        &self,
        headers: &HeaderMap,
        team: Option<TeamName>,
        body: Incoming,
    ) -> Response {
        let Some(key) = key_of(headers) else {
            return bad_key();
        };
        let (digest, job) = match self.read_job(team, body).await {
            Ok(read) => read,
            Err(res) => return res,
        };
        let ticket = match self.ticket_of(key, digest, &job).await {
            Ok(ticket) => ticket,
            Err(rejection) => return self.refuse(rejection),
        };
        self.call(Call::Submit {
            ticket,
            digest,
            job,
            origin: Origin::Caller,
        })
        .await
    }

    /// The ticket that a key is bound to; where it is bound to none, to a new one.
    ///
    /// No refusal here says `NotRun`: an earlier request with the key may have bound it.
    async fn ticket_of(&self, key: &str, digest: u128, job: &JobSpec) -> Result<Ticket, Rejection> {
        let Some(ticket) = self.mint.mint() else {
            return Err(may_have_run(Reason::VmLeaving));
        };
        let team = job.team.as_ref().map(TeamName::as_str);
        let digest = convert::digest_text(digest);
        let wish = RequestedBinding {
            row: key_row(job.service.as_str(), team, key),
            binding: KeyBinding {
                ticket: ticket.to_string(),
                digest: digest.clone(),
            },
        };
        match self.keys.bind(wish).await {
            Ok(KeyOutcome::Bound) => Ok(ticket),
            Ok(KeyOutcome::AlreadyBound(binding)) if binding.digest != digest => {
                Err(Rejection::may_have_run(Reason::OtherBody))
            }
            Ok(KeyOutcome::AlreadyBound(binding)) => binding
                .ticket
                .parse()
                .map_err(|_| Rejection::may_have_run(Reason::BadTicket)),
            Ok(KeyOutcome::Unknown) => Err(may_have_run(Reason::StoreAway)),
            Err(Overloaded) => Err(may_have_run(Reason::Overloaded)),
        }
    }
}

fn may_have_run(reason: Reason) -> Rejection {
    Rejection::may_have_run(reason).with_retry_after(STORE_RETRY_AFTER)
}

/// The one key of a request; `None` where there is none, several, or one that can be no key.
fn key_of(headers: &HeaderMap) -> Option<&str> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let key = keys.next()?.to_str().ok()?;
    (keys.next().is_none() && is_key(key)).then_some(key)
}

/// Whether a text can be a key: visible ASCII characters, not too many.
fn is_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// No VM ever takes such a key, so nothing ran under it and nothing will.
fn bad_key() -> Response {
    let detail = format!(
        "{KEY_HEADER} is a header of 1 to {MAX_KEY_BYTES} visible ASCII characters without spaces"
    );
    problem::of_request(400, "bad-key", Verdict::NotRun, detail)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_short_and_visible() {
        assert!(is_key("order-17/a"));
        assert!(is_key(&"k".repeat(MAX_KEY_BYTES)));
        for text in ["", "a b", "a\tb", "a\u{7f}", "é"] {
            assert!(!is_key(text), "{text:?}");
        }
        assert!(!is_key(&"k".repeat(MAX_KEY_BYTES + 1)));
    }
}
