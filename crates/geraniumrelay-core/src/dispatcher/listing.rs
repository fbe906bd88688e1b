//! Lists of targets: from the platform, or from a peer while the platform is unavailable.

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::modules::policy::Policy;
use crate::modules::targets::TargetInfo;

impl<P: Policy> Dispatcher<P> {
    /// Replaces the known targets by the platform's list.
    pub(super) fn update_targets(
        &mut self,
        cx: &Context<'_>,
        infos: &[TargetInfo],
        out: &mut Vec<Effect>,
    ) {
        self.target_fetch.on_platform_list();
        self.replace_targets(cx, infos, out);
    }

    /// Replaces the known targets by a peer's list, if the platform has not provided one yet.
    pub(super) fn update_targets_from_peer(
        &mut self,
        cx: &Context<'_>,
        infos: &[TargetInfo],
        out: &mut Vec<Effect>,
    ) {
        if !self.target_fetch.has_list() && !infos.is_empty() {
            self.replace_targets(cx, infos, out);
        }
    }

    /// Requests the targets of a live peer in this data centre until the platform's list arrives.
    pub(super) fn fetch_targets(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let Some(address) = self.membership.any_local_peer(cx) else {
            return;
        };
        if self.target_fetch.should_fetch(cx) {
            out.push(Effect::FetchTargets { address });
        }
    }

    /// Targets that are listed here, for peers without a list of the platform.
    pub fn target_infos(&self) -> Vec<TargetInfo> {
        self.targets.infos()
    }

    fn replace_targets(&mut self, cx: &Context<'_>, infos: &[TargetInfo], out: &mut Vec<Effect>) {
        self.targets.apply_list(infos);
        self.update_assignment(cx);
        self.start_all(cx, out);
    }
}
