//! Submissions under an idempotency key of the caller's choice, `POST /v1/jobs`.

use std::time::Duration;

use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{Clock, JobSpec, Origin, Reason, Rejection, Ticket, Verdict};
use geraniumrelay_platform::{KeyOutcome, RequestedBinding, key_row};
use geraniumrelay_wire::KeyBinding;
use hyper::HeaderMap;

use crate::convert;
use crate::http::body::UnreadBody;
use crate::http::problem;
use crate::http::response::Response;
use crate::http::server::CallerApi;
use crate::requests::{Call, Overloaded};

/// Header that carries the idempotency key.
const KEY_HEADER: &str = "Idempotency-Key";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// `Retry-After` of a refusal to bind a key: a retry needs the platform's table to be reachable, or
/// another entry VM.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

impl<C: Clock> CallerApi<C> {
    /// `POST /v1/jobs`
    pub(super) async fn submit_by_key(
        &self,
        headers: &HeaderMap,
        team: Option<TeamName>,
        body: UnreadBody<'_>,
    ) -> Response {
        let Some(key) = idempotency_key(headers) else {
            return invalid_key();
        };
        let (digest, job) = match self.read_job(team, body).await {
            Ok(read) => read,
            Err(res) => return res,
        };
        let ticket = match self.bind_key(key, digest, &job).await {
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

    /// Returns the ticket to which a key is bound; binds an unbound key to a new ticket.
    ///
    /// No refusal has the verdict `NotRun`: an earlier request with the key may have bound it.
    async fn bind_key(&self, key: &str, digest: u128, job: &JobSpec) -> Result<Ticket, Rejection> {
        let Some(ticket) = self.mint.mint() else {
            return Err(retryable(Reason::VmLeaving));
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
            Ok(KeyOutcome::Unknown) => Err(retryable(Reason::StoreAway)),
            Err(Overloaded) => Err(retryable(Reason::Overloaded)),
        }
    }
}

fn retryable(reason: Reason) -> Rejection {
    Rejection::may_have_run(reason).with_retry_after(STORE_RETRY_AFTER)
}

/// Returns the key of a request; `None` if it has no key, several keys or an invalid one.
fn idempotency_key(headers: &HeaderMap) -> Option<&str> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let key = keys.next()?.to_str().ok()?;
    (keys.next().is_none() && is_valid_key(key)).then_some(key)
}

/// Whether a text consists of 1 to [`MAX_KEY_BYTES`] visible ASCII characters.
fn is_valid_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Refusal of a missing or invalid key. No VM accepts such a key, so no job ran or will run under
/// it.
fn invalid_key() -> Response {
    let detail = format!(
        "{KEY_HEADER} is a header of 1 to {MAX_KEY_BYTES} visible ASCII characters without spaces"
    );
    problem::request_error(400, "bad-key", Verdict::NotRun, detail)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_keys_are_short_visible_ascii() {
        assert!(is_valid_key("order-17/a"));
        assert!(is_valid_key(&"k".repeat(MAX_KEY_BYTES)));
        for text in ["", "a b", "a\tb", "a\u{7f}", "é"] {
            assert!(!is_valid_key(text), "{text:?}");
        }
        assert!(!is_valid_key(&"k".repeat(MAX_KEY_BYTES + 1)));
    }
}
