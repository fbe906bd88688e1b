//! Sign-in of callers' teams.

use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{Clock, Verdict};
use geraniumrelay_wire::JobRequest;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::http::problem;
use crate::http::response::Response;
use crate::http::server::CallerApi;

impl<C: Clock> CallerApi<C> {
    /// Whose token a request brings; `None` where the settings name no teams.
    pub(super) fn authenticate(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<TeamName>, Box<Response>> {
        if self.teams.is_empty() {
            return Ok(None);
        }
        let header = headers.get(AUTHORIZATION);
        let team = self
            .teams
            .authenticate(header.and_then(|value| value.to_str().ok()));
        if team.is_some() {
            return Ok(team);
        }
        let detail = "the token of a team is needed: Authorization: Bearer TOKEN";
        Err(problem::of_request(401, "not-signed-in", Verdict::MayHaveRun, detail).into())
    }
}

/// Puts a job under the team that signed in; refuses one under another team.
pub(super) fn bind_team(job: &mut JobRequest, team: Option<TeamName>) -> Result<(), Box<Response>> {
    let Some(team) = team else {
        return Ok(());
    };
    let named = job.team.get_or_insert_with(|| team.to_string());
    if named == team.as_str() {
        return Ok(());
    }
    let detail = format!("the token is of team {team}, the job names team {named}");
    Err(problem::of_request(403, "other-team", Verdict::MayHaveRun, detail).into())
}
