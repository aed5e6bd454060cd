"""Build the query machine of a request from the blackboard.

The routes of a target are built once per change of the settings or of the
leafs and shared by its queries, because building them costs more than running
a query.
"""

import dataclasses

import trio

from plantainhook import (
    blackboard,
    callerapi,
    errors,
    executor,
    messages,
    query,
    queryplan,
    querytypes,
    schema,
    settingstree,
    shardmap,
    snapshot,
    steps,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedView:
    """Cache a target view with what it was built from.

    The view is stale once ``leafs_changed`` is set or the settings differ.
    """

    settings: blackboard.SettingsView
    leafs_changed: trio.Event
    view: snapshot.TargetView


class BlackboardPlanner:
    """Plan queries from the settings and the leafs of the blackboard."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        data_centre: str,
        policies: queryplan.QueryPolicies,
    ) -> None:
        self.board = board
        self.data_centre = data_centre
        self.policies = policies
        self._views: dict[str, _CachedView] = {}

    def resolve_rules(
        self, body: callerapi.QueryBody
    ) -> querytypes.EffectiveRules | errors.RefusalError:
        """Return the effective rules of a request, or its refusal."""
        settings = self.board.settings.settings
        target = settings.target.get(body.target)
        if target is None:
            return build_refusal(
                messages.TARGET_UNKNOWN.format(target=body.target),
                errors.RefusalKind.UNKNOWN_TARGET,
            )
        if body.kind not in settings.request_kind:
            return build_refusal(
                messages.KIND_UNKNOWN.format(kind=body.kind),
                errors.RefusalKind.UNKNOWN_KIND,
            )
        return settingstree.resolve(
            settings, self.data_centre, service_of(settings, target), body.kind
        )

    def build_machine(
        self,
        request: querytypes.QueryRequest,
        rules: querytypes.EffectiveRules,
        now_s: float,
    ) -> executor.Machine:
        """Build a machine, which has not been started."""
        plan = queryplan.QueryPlan(
            request, rules, lambda: self.target_view(request.target)
        )
        return query.QueryMachine(plan, self.policies, now_s)

    def target_view(self, target: str) -> snapshot.TargetView:
        """Return the current routes of a target, cached until a change."""
        settings = self.board.settings
        cached = self._views.get(target)
        if (
            cached is not None
            and cached.settings is settings
            and not cached.leafs_changed.is_set()
        ):
            return cached.view
        leafs_changed = self.board.change_event(blackboard.Topic.LEAFS)
        view = snapshot.build_target_view(
            target,
            settings.shard_maps.get(target, {}),
            leaf_statuses(settings.leafs, self.board.leafs),
            self.data_centre,
        )
        self._views[target] = _CachedView(settings, leafs_changed, view)
        return view


def service_of(settings: schema.Settings, target: schema.Target) -> str:
    """Return the service of a target; empty if it spans several."""
    services = {settings.group[name].service for name in target.groups}
    return services.pop() if len(services) == 1 else ""


def leaf_statuses(
    infos: dict[str, shardmap.LeafInfo],
    views: dict[str, blackboard.LeafView],
) -> dict[str, querytypes.LeafStatus]:
    """Combine the settings of leafs with their known states.

    A leaf that is missing in the settings or has no known state is omitted.
    """
    usable_states = (blackboard.LeafState.LIVE, blackboard.LeafState.COLD)
    return {
        name: querytypes.LeafStatus(
            info=infos[name],
            usable=view.state in usable_states,
            cold=view.state is blackboard.LeafState.COLD,
            versions=view.versions,
        )
        for name, view in views.items()
        if name in infos
    }


def build_refusal(
    detail: str, kind: errors.RefusalKind
) -> errors.RefusalError:
    """Build the refusal of a request that names something unknown."""
    return errors.RefusalError(
        steps.Step.QUERY_ACCEPT, "settings", detail, kind, errors.Ran.NO
    )
