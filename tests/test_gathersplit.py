"""Test how the shards of a query are split into branches."""

import typing

import testtools

from plantainhook import gathersplit, querytypes, shardmap, snapshot

OWN: typing.Final = "own:1"


def view_of(replicas: dict[str, str]) -> snapshot.VersionView:
    """Return the view from data centre ``a``.

    ``replicas`` holds the data centres of each shard's leafs, one letter
    each.
    """
    statuses = {}
    shards = {}
    for shard, data_centres in replicas.items():
        names = []
        for data_centre in data_centres:
            name = f"{shard}-{data_centre}"
            names.append(name)
            info = shardmap.LeafInfo(
                name, "l:1", data_centre, shard, shard, 2, 9
            )
            statuses[name] = querytypes.LeafStatus(
                info, True, False, {1: frozenset((shard,))}
            )
        shards[shard] = shardmap.ShardInfo(shard, shard, tuple(names), 1.0, ())
    shard_map = shardmap.ShardMap("", 1, shards)
    return snapshot.build_version_view(shard_map, statuses, "a", {})


def group(
    data_centre: str, count: int = 2, limit_count: int = 50
) -> gathersplit.HelperGroup:
    """Return the helpers of a data centre."""
    return gathersplit.HelperGroup(
        tuple(f"{data_centre}{number}:1" for number in range(count)),
        limit_count,
    )


def split(
    replicas: dict[str, str],
    others: dict[str, gathersplit.HelperGroup],
    own_limit_count: int = 50,
    own_peers: tuple[str, ...] = (),
    request_id: str = "q",
    record_limit_count: int = 20,
    poor: typing.Collection[str] = (),
) -> gathersplit.Split:
    """Split shards; the own group has this daemon and ``own_peers``."""
    return gathersplit.split_shards(
        view_of(replicas),
        OWN,
        gathersplit.HelperGroup((OWN, *own_peers), own_limit_count),
        others,
        record_limit_count,
        request_id,
        lambda statuses: all(status.info.name in poor for status in statuses),
    )


class SplitTest(testtools.TestCase):
    """Check which daemon calls which shard."""

    def test_near_shards_are_called_directly(self) -> None:
        """Guard against a hop for leafs in the same data centre."""
        replicas = {f"s{n}": "ab" for n in range(20)}
        chosen = split(replicas, {"b": group("b")})
        self.assertEqual(set(replicas), set(chosen.direct))
        self.assertEqual({}, chosen.branches)

    def test_far_shards_form_one_branch(self) -> None:
        """Guard against full parts on the links between data centres."""
        replicas = {f"s{n}": "bc" for n in range(20)}
        chosen = split(replicas, {"b": group("b"), "c": group("c")})
        self.assertEqual((), chosen.direct)
        (shards,) = chosen.branches.values()
        self.assertEqual(set(replicas), set(shards))

    def test_requests_are_spread_over_data_centres(self) -> None:
        """Guard against queries that all load the same leafs."""
        replicas = {f"s{n}": "bc" for n in range(20)}
        others = {"b": group("b"), "c": group("c")}
        used = {
            address[0]
            for number in range(30)
            for address in split(
                replicas, others, request_id=f"q{number}"
            ).branches
        }
        self.assertEqual({"b", "c"}, used)

    def test_few_shards_are_called_directly(self) -> None:
        """Guard against a message that saves next to no bytes."""
        chosen = split({"s0": "b"}, {"b": group("b")})
        self.assertEqual(("s0",), chosen.direct)

    def test_shards_without_a_helper_are_called_directly(self) -> None:
        """Guard against shards that are lost with all helpers."""
        replicas = {f"s{n}": "bc" for n in range(20)}
        chosen = split(replicas, {})
        self.assertEqual(set(replicas), set(chosen.direct))

    def test_shards_of_poor_leafs_form_a_branch(self) -> None:
        """Guard against a call across data centres for each failing leaf.

        Pattern: a quarter of the leafs fail at once.
        """
        replicas = {f"s{n}": "ab" for n in range(40)}
        poor = [f"s{n}-a" for n in range(10)]
        chosen = split(replicas, {"b": group("b")}, poor=poor)
        (shards,) = chosen.branches.values()
        self.assertEqual({f"s{n}" for n in range(10)}, set(shards))
        self.assertEqual(30, len(chosen.direct))

    def test_few_poor_leafs_are_called_directly(self) -> None:
        """Guard against a shard that loses its only choice of leafs."""
        replicas = {"s0": "a", "s1": "ab"}
        chosen = split(replicas, {"b": group("b")}, poor=["s0-a", "s1-a"])
        self.assertEqual({"s0", "s1"}, set(chosen.direct))

    def test_each_shard_is_called_once(self) -> None:
        """Guard against shards that two branches call, or none."""
        places = ("a", "b", "c", "bc", "ab", "cd", "bcd", "e")
        replicas = {f"s{n}": places[n % len(places)] for n in range(87)}
        others = {name: group(name, 3, 4) for name in "bcd"}
        chosen = split(
            replicas, others, own_limit_count=4, own_peers=("a1:1", "a2:1")
        )
        called = [*chosen.direct]
        for shards in chosen.branches.values():
            called.extend(shards)
        self.assertEqual(sorted(replicas), sorted(called))

    def test_weak_vms_share_the_calls(self) -> None:
        """Guard against a fan-out that takes one weak VM too long.

        Pattern: 87 shards on VMs of an eighth of a core.
        """
        replicas = {f"s{n}": "ab" for n in range(12)}
        replicas |= {f"t{n}": "bc" for n in range(30)}
        chosen = split(
            replicas,
            {"b": group("b", 3, 7), "c": group("c", 3, 7)},
            own_limit_count=7,
            own_peers=("a1:1",),
        )
        counts = [len(shards) for shards in chosen.branches.values()]
        self.assertTrue(max(*counts, len(chosen.direct)) <= 7)

    def test_a_shard_keeps_its_helper(self) -> None:
        """Guard against connections that are idle until leafs close them."""
        replicas = {f"s{n}": "b" for n in range(20)}
        others = {"b": group("b", 4, 5)}
        first = split(replicas, others, request_id="q1").branches
        second = split(replicas, others, request_id="q2").branches
        self.assertEqual(
            {address: set(shards) for address, shards in first.items()},
            {address: set(shards) for address, shards in second.items()},
        )
