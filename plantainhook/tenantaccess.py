"""Decide whether the key of a request allows it to use a route.

Keys belong to the route table, so a key that a newer configuration withdraws
or moves to another tenant is refused or counts for that tenant at once. A
daemon verifies the key of a request that its own caller sent. A request of a
peer has no key; the peer names the tenant.
"""

import typing

from plantainhook import forwardtypes, routetable


class Access(typing.NamedTuple):
    """Represent a verified request.

    ``tenant`` is None on a public route and without configured tenants.
    """

    request: forwardtypes.ForwardRequest
    tenant: routetable.Tenant | None


def verify(
    table: routetable.RouteTable,
    route: routetable.Route,
    request: forwardtypes.ForwardRequest,
    dialect: forwardtypes.Dialect,
) -> Access | None:
    """Return the request as leafs get it, or None if its key is not valid."""
    if table.tenants is None:
        return Access(request, None)
    if route.is_public:
        return Access(dialect.with_tenant(request, None), None)
    tenant = table.tenant_of_key(request.api_key)
    if request.tenant is not None:
        # A peer has verified the key.
        tenant = table.tenants.get(request.tenant)
    if tenant is None:
        return None
    return Access(dialect.with_tenant(request, tenant.name), tenant)
