"""Decide whether a request that has arrived may be run, and how urgently.

The key of a request must allow it to use its route, and the quota of its
tenant must admit it. Both methods that check a request return the response to
send if they refuse it.
"""

import dataclasses

import trio

from plantainhook import (
    blackboard,
    forwardmetrics,
    forwardplanner,
    forwardresponses,
    forwardtypes,
    logs,
    quotasync,
    routetable,
    tenantaccess,
    urgency,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Represent a request as it arrived, and the table that verified it.

    ``is_own`` states whether a caller of this daemon sent it.
    """

    request: forwardtypes.ForwardRequest
    table: routetable.RouteTable
    is_own: bool


class RequestAccess:
    """Apply keys, quotas and ranks to the requests of one daemon."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        dialect: forwardtypes.Dialect,
        quotas: quotasync.QuotaSync,
        forward_metrics: forwardmetrics.ForwardMetrics,
        responses: forwardresponses.ForwardResponses,
        decisions: logs.DecisionLog,
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._quotas = quotas
        self._forward_metrics = forward_metrics
        self._responses = responses
        self._decisions = decisions
        self._ranks = urgency.RankScale()

    async def check(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        arrived_s: float,
        is_own: bool,
    ) -> tenantaccess.Access | forwardtypes.Response:
        """Return the verified request, or the response that refuses it.

        The daemon that a caller has reached applies the quota of the tenant.
        """
        access = self._verify(forwarded, route)
        if is_own and access is not None and access.tenant is not None:
            retry_after_s = await self._admit_by_quota(
                forwarded, route, access.tenant, arrived_s
            )
            if retry_after_s is not None:
                return self._responses.over_quota(retry_after_s)
            # The key may have been withdrawn while the request waited.
            access = self._verify(forwarded, route)
        if access is None:
            return self._refuse(forwarded, route, is_own)
        return access

    async def _admit_by_quota(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        tenant: routetable.Tenant,
        arrived_s: float,
    ) -> float | None:
        """Return None if the tenant's quota admits a request of a caller.

        Otherwise return after how many seconds there is room.
        """
        if tenant.rate_per_s <= 0.0:
            return None
        deadline_s = forwardplanner.build_query_request(
            forwarded, route, arrived_s
        ).deadline_s
        retry_after_s = await self._quotas.admit(
            tenant, trio.current_time(), deadline_s
        )
        is_admitted = retry_after_s is None
        self._forward_metrics.count_quota(tenant.name, is_admitted)
        if not is_admitted:
            self._decisions.log(
                f"Request {forwarded.request_id} on route {route.name} is "
                f"refused: tenant {tenant.name} is over its quota of "
                f"{tenant.rate_per_s:g} a second and a burst of "
                f"{tenant.burst_count:g}; retry after {retry_after_s:.3f} s."
            )
        return retry_after_s

    def verify_again(
        self,
        received: Received,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
    ) -> forwardtypes.Response | None:
        """Return the refusal of a request whose key changed while it waited.

        A key that another tenant has now is verified anew in the next attempt.
        """
        if self.may_still_run(received, forwarded, route):
            return None
        if self._verify(received.request, route) is None:
            return self._refuse(forwarded, route, received.is_own)
        return self._responses.retry_soon()

    def may_still_run(
        self,
        received: Received,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
    ) -> bool:
        """Return whether the key of a request is valid for its tenant."""
        if self._board.routes is received.table:
            return True
        access = self._verify(received.request, route)
        return access is not None and (
            access.request.tenant == forwarded.tenant
        )

    def allows(self, forwarded: forwardtypes.ForwardRequest) -> bool:
        """Return whether the configuration here allows a request."""
        route = self._board.routes.match(forwarded.host, forwarded.path())
        if route is None:
            return False
        return self._verify(forwarded, route) is not None

    def _verify(
        self, request: forwardtypes.ForwardRequest, route: routetable.Route
    ) -> tenantaccess.Access | None:
        """Verify the key of a request with the configuration in force."""
        return tenantaccess.verify(
            self._board.routes, route, request, self._dialect
        )

    def rank(
        self,
        access: tenantaccess.Access,
        table: routetable.RouteTable,
        route: routetable.Route,
    ) -> forwardtypes.ForwardRequest:
        """Return the request with its rank; a peer may have set it."""
        forwarded = access.request
        if forwarded.rank is not None:
            return forwarded
        wanted = urgency.of_request(route, access.tenant)
        rank = self._ranks.rank(
            table, wanted, forwarded.request_id, trio.current_time()
        )
        return dataclasses.replace(forwarded, ranks=wanted, rank=rank)

    def _refuse(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        is_own: bool,
    ) -> forwardtypes.Response:
        """Refuse a request whose key is not valid.

        A peer may have another version of the configuration, so its requests
        are sent back to be tried again.
        """
        self._decisions.log(
            f"Request {forwarded.request_id} on route {route.name} is "
            "refused: it has no valid key."
        )
        if not is_own:
            return self._responses.retry_soon()
        return self._responses.unauthorized()
