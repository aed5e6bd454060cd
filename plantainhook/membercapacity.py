"""Choice of members by the strength of their VMs.

Pattern: VMs are not alike, and those with a strong processor also have a
wide link. What one daemon does for many belongs there.
"""

import typing
from collections import abc

from plantainhook import blackboard

# Members with at least this part of the strongest processor are alike.
ALIKE_RATIO: typing.Final = 0.75


def highest_capacity(
    members: abc.Sequence[blackboard.MemberInfo],
) -> list[blackboard.MemberInfo]:
    """Return the members whose processor is like the strongest one."""
    most = max((member.capacity for member in members), default=0)
    return [
        member for member in members if member.capacity >= ALIKE_RATIO * most
    ]
