"""Selection of members on the VMs with the highest capacity.

Pattern: VMs differ in processing power, and the powerful ones also have a fast
network link. Work that one daemon does for many others is placed on them.
"""

import typing
from collections import abc

from plantainhook import blackboard

# Members with at least this fraction of the highest capacity count as equal.
SIMILAR_CAPACITY_RATIO: typing.Final = 0.75


def highest_capacity(
    members: abc.Sequence[blackboard.MemberInfo],
) -> list[blackboard.MemberInfo]:
    """Return the members whose capacity is close to the highest one.

    Where no capacity is known, these are all members.
    """
    highest = max((member.capacity for member in members), default=0)
    return [
        member
        for member in members
        if member.capacity >= SIMILAR_CAPACITY_RATIO * highest
    ]
