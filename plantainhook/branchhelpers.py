"""Choose the helpers that run branches of queries.

A helper is a daemon in the data centre of the leafs; in a large fleet it is
one of the gatherers there, which have the connections. Only daemons that
announce the feature are chosen, because others don't know the messages.
"""

import typing

import trio

from plantainhook import blackboard, gatherers, gathersplit, wire

# A helper that fell silent or was lost is avoided for this time.
FAILED_AVOID_S: typing.Final = 3.0
# Time that a helper may be late because of its link, and because of its CPU
# if it has one core.
LINK_GRACE_S: typing.Final = 0.015
CORE_GRACE_S: typing.Final = 0.01


class Helpers:
    """Choose the helpers of all data centres and avoid those that fail."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        choice: gatherers.GathererChoice,
    ) -> None:
        self._board = board
        self._choice = choice
        self._avoid_until_s: dict[str, float] = {}
        self._members: dict[int, blackboard.MemberInfo] | None = None
        self._by_address: dict[str, blackboard.MemberInfo] = {}

    def avoid(self, address: str) -> None:
        """Avoid a helper for some time."""
        self._avoid_until_s[address] = trio.current_time() + FAILED_AVOID_S

    def groups(self) -> dict[str, gathersplit.HelperGroup]:
        """Return the usable helpers by data centre.

        In the data centre of this daemon they include the daemon itself.
        """
        board = self._board
        own = board.members.get(board.incarnation)
        if own is None:
            return {}
        now_s = trio.current_time()
        groups: dict[str, gathersplit.HelperGroup] = {}
        for data_centre, members in self._choice.by_data_centre().items():
            usable = [
                member
                for member in members
                if member is not own
                and member.features & wire.FEATURE_BRANCHES
                and self._avoid_until_s.get(member.peer_address, 0.0) <= now_s
            ]
            if data_centre == own.data_centre:
                usable.append(own)
            if usable:
                groups[data_centre] = _build_group(usable)
        return groups

    def own_address(self) -> str:
        """Return the address of this daemon; empty until it has joined."""
        return self._board.own_address()

    def own_data_centre(self) -> str:
        """Return the data centre of this daemon; empty until it has joined."""
        own = self._board.members.get(self._board.incarnation)
        return "" if own is None else own.data_centre

    def grace_s(self, address: str) -> float:
        """Return by how much a reply of a helper may be late.

        Pattern: on a VM with little CPU a branch takes long to start. If its
        helper counted as silent, its shards would be given up.
        """
        member = self._member_at(address)
        capacity = member.capacity if member is not None else 0
        return LINK_GRACE_S + CORE_GRACE_S / gatherers.cores_of(capacity)

    def _member_at(self, address: str) -> blackboard.MemberInfo | None:
        members = self._board.members
        if self._members is not members:
            self._members = members
            self._by_address = {
                member.peer_address: member for member in members.values()
            }
        return self._by_address.get(address)


def _build_group(
    members: list[blackboard.MemberInfo],
) -> gathersplit.HelperGroup:
    capacity = min(member.capacity for member in members)
    return gathersplit.HelperGroup(
        tuple(member.peer_address for member in members),
        gatherers.shards_limit_count(capacity),
    )
