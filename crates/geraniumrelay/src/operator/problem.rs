//! Error responses to operators, as application/problem+json (RFC 9457).

use geraniumrelay_core::Verdict;
use geraniumrelay_platform::PlatformError;
use geraniumrelay_wire::Problem;
use rouille::Response;

/// Media type of problem details.
const PROBLEM_JSON: &str = "application/problem+json";

/// Error response to an operator's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct OperatorProblem {
    status: u16,
    reason: &'static str,
    verdict: Verdict,
    detail: String,
}

impl OperatorProblem {
    /// Problem of a request that changed nothing: the verdict is [`Verdict::NotRun`].
    pub(super) fn new(status: u16, reason: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason,
            verdict: Verdict::NotRun,
            detail: detail.into(),
        }
    }

    /// Converts the problem to an HTTP response.
    pub(super) fn into_response(self) -> Response {
        let problem = Problem {
            r#type: "about:blank".to_owned(),
            title: "the request was refused".to_owned(),
            status: self.status.into(),
            detail: self.detail,
            verdict: self.verdict.to_string(),
            reason: self.reason.to_owned(),
            ..Problem::default()
        };
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        Response::from_data(PROBLEM_JSON, body).with_status_code(self.status)
    }
}

impl From<PlatformError> for OperatorProblem {
    fn from(e: PlatformError) -> Self {
        let may_have_run = e.may_have_taken_effect();
        let problem = Self::new(503, "platform-away", e.to_string());
        if may_have_run {
            Self {
                status: 504,
                reason: "outcome-unknown",
                verdict: Verdict::MayHaveRun,
                ..problem
            }
        } else {
            problem
        }
    }
}
