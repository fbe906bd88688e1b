//! Authentication of callers' teams by bearer token.

use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{Clock, Verdict};
use geraniumrelay_wire::JobRequest;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::http::problem;
use crate::http::response::Response;
use crate::http::server::CallerApi;

impl<C: Clock> CallerApi<C> {
    /// Returns the team whose token the request carries; `None` if the settings name no teams.
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
        Err(problem::request_error(401, "not-signed-in", Verdict::MayHaveRun, detail).into())
    }
}

/// Sets the team of a job to the authenticated team; refuses a job that names another team.
pub(super) fn assign_team(
    job: &mut JobRequest,
    team: Option<TeamName>,
) -> Result<(), Box<Response>> {
    let Some(team) = team else {
        return Ok(());
    };
    let named = job.team.get_or_insert_with(|| team.to_string());
    if named == team.as_str() {
        return Ok(());
    }
    let detail = format!("the token is of team {team}, the job names team {named}");
    Err(problem::request_error(403, "other-team", Verdict::MayHaveRun, detail).into())
}
