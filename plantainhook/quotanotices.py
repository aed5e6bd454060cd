"""Notices of a granter that the quota of a tenant is largely used.

``tenantquota`` decides who gets one; ``quotasync`` exchanges all else.
"""

import typing
from collections import abc

import result
import trio

from plantainhook import blackboard, logs, peers, tenantquota, wire

LOGGER: typing.Final = logs.part_logger("quota")
NOTICE_TIMEOUT_S: typing.Final = 0.15


class QuotaNotices:
    """Send the notices of a granter.

    ``close_own`` handles those for this daemon itself.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        transport: peers.PeerTransport,
        granter: tenantquota.Granter,
        close_own: abc.Callable[[int, wire.QuotaGrants], None],
    ) -> None:
        self._board = board
        self._transport = transport
        self._granter = granter
        self._close_own = close_own
        self._has_closings = trio.Event()

    def check(self) -> None:
        """Let the notices be sent that the granter has decided on."""
        if self._granter.closings:
            self._has_closings.set()

    async def run(self) -> None:
        """Tell daemons at once which tenants are no longer open.

        Pattern: many daemons receive the flood of one tenant. Each of them
        would admit requests until its next report.
        """
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_closings.wait()
                self._has_closings = trio.Event()
                closings, self._granter.closings = self._granter.closings, {}
                for caller_id, tenants in closings.items():
                    notice = wire.QuotaGrants(
                        self._granter.next_sequence(),
                        [wire.TenantGrant(name, 0, 0) for name in tenants],
                    )
                    if caller_id == self._board.incarnation:
                        self._close_own(caller_id, notice)
                    elif caller_id in self._board.members:
                        nursery.start_soon(
                            self._notify,
                            self._board.members[caller_id],
                            notice,
                        )

    async def _notify(
        self, member: blackboard.MemberInfo, notice: wire.QuotaGrants
    ) -> None:
        reply = await self._transport.request(
            member.peer_address, notice, NOTICE_TIMEOUT_S
        )
        if isinstance(reply, result.Err):
            LOGGER.info(
                "Used quotas were not told to {}: {}",
                member.name,
                reply.err_value,
            )
