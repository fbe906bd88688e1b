//! Lists of targets: the platform's, and a peer's where the platform is away.

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::modules::policy::Policy;
use crate::modules::targets::TargetInfo;

impl<P: Policy> Dispatcher<P> {
    /// Takes the platform's list over.
    pub(super) fn list_targets(
        &mut self,
        cx: &Context<'_>,
        infos: &[TargetInfo],
        out: &mut Vec<Effect>,
    ) {
        self.target_fetch.on_platform_list();
        self.take_targets(cx, infos, out);
    }

    /// Takes a peer's list over until the platform gives one.
    pub(super) fn list_peer_targets(
        &mut self,
        cx: &Context<'_>,
        infos: &[TargetInfo],
        out: &mut Vec<Effect>,
    ) {
        if !self.target_fetch.has_list() && !infos.is_empty() {
            self.take_targets(cx, infos, out);
        }
    }

    /// Asks a reachable peer of the own data centre for its targets while there is no list.
    pub(super) fn fetch_targets(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let Some(address) = self.membership.any_local_peer(cx) else {
            return;
        };
        if self.target_fetch.should_fetch(cx) {
            out.push(Effect::FetchTargets { address });
        }
    }

    /// Targets that are known here, for peers that know none.
    pub fn target_infos(&self) -> Vec<TargetInfo> {
        self.targets.infos()
    }

    fn take_targets(&mut self, cx: &Context<'_>, infos: &[TargetInfo], out: &mut Vec<Effect>) {
        self.targets.apply_list(infos);
        self.settle_homes(cx);
        self.start_all(cx, out);
    }
}
