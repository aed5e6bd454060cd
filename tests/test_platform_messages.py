"""Test the platform's formats: headers, configurations, leaf entries."""

import dataclasses
import pathlib
import re
import typing

import msgspec
import testtools

from plantainhook import forwardtypes, httpconnection
from plantainhook.platform import dialect, documents, names
from tests import casefiles

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
ENTRY: typing.Final[dict[str, typing.Any]] = {
    "service": "shard-1",
    "address": "10.0.0.1:80",
    "zone": "dc-1",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 1500,
    "seq": 4,
    "born": 1700000000000,
}


def wrong_entry(case: casefiles.Case) -> object:
    """Read a changed entry; return a text if the outcome is unexpected."""
    spec = {**ENTRY, **case.get("changed", {})}
    for name in case.get("without", []):
        del spec[name]
    if "whole" in case:
        spec = case["whole"]
    try:
        documents.PlatformDocuments().read_leaf("leaf-1", spec)
    except ValueError:
        return None if case["expected"] == "rejected" else "rejected"
    return None if case["expected"] == "accepted" else "accepted"


class DocumentsTest(testtools.TestCase):
    """Check the documents that are read from the store."""

    def test_entries(self) -> None:
        """Guard against leafs from entries in another format."""
        self.assertEqual([], casefiles.failures("leaf_entries", wrong_entry))

    def test_entry_fields(self) -> None:
        """Guard against fields that are read under another name or unit."""
        entry = documents.PlatformDocuments().read_leaf("leaf-1", ENTRY)
        self.assertEqual(1.5, entry.cold_left_s)
        self.assertEqual((1700000000000, 4), (entry.born_ms, entry.sequence))
        self.assertEqual("dc-1", entry.info.data_centre)
        self.assertFalse(entry.draining)

    def test_configuration(self) -> None:
        """Guard against routes that lose a rule when they are read."""
        table = documents.PlatformDocuments().read_routes(
            {
                "version": 7,
                "routes": [
                    {
                        "name": "r",
                        "host": "H.example",
                        "path-prefix": "/a/",
                        "kind": "non_idempotent",
                        "timeout-ms": 300,
                        "latency-goal-ms": 108,
                        "priority": 2,
                        "max-attempts": 2,
                        "backends": [
                            {"service": "s", "weight": 1},
                            {"service": "t", "weight": 3},
                        ],
                    }
                ],
                "services": [{"name": "s", "max-conns": 25}],
                "limits": {"idle-timeout-ms": 9000},
            }
        )
        route = table.match("h.example", "/a/b")
        assert route is not None
        self.assertFalse(route.idempotent)
        self.assertEqual((300.0, 108.0), (route.timeout_ms, route.goal_ms))
        self.assertEqual(25, table.services["s"].connection_limit_count)
        self.assertEqual(9.0, table.limits.idle_timeout_s)
        self.assertIs(None, table.match("h.example", "/ab/"))

    def test_configuration_without_version(self) -> None:
        """Guard against a configuration that sorts before all others."""
        reader = documents.PlatformDocuments()
        self.assertRaises(ValueError, reader.read_routes, {"routes": []})

    def test_numbers_without_a_bound(self) -> None:
        """Guard against a number that no arithmetic or message bears.

        What the operator's store has accepted is applied with the bound.
        """
        huge: typing.Any = 10**400
        for whole, number in ((huge, 1e308), (-huge, -1e308)):
            table = documents.PlatformDocuments().read_routes(
                {
                    "version": 7,
                    "routes": [
                        {
                            "name": "r",
                            "host": "h.example",
                            "path-prefix": "/a/",
                            "kind": "idempotent",
                            "timeout-ms": number,
                            "latency-goal-ms": number,
                            "priority": whole,
                            "max-attempts": whole,
                            "gather": ["s", "t"],
                            "top-k": whole,
                            "min-coverage": number,
                        },
                        {
                            "name": "q",
                            "host": "h.example",
                            "path-prefix": "/b/",
                            "kind": "idempotent",
                            "timeout-ms": 5,
                            "backends": [{"service": "s", "weight": number}],
                        },
                    ],
                    "services": [
                        {
                            "name": "s",
                            "max-conns": whole,
                            "cold-per-s": number,
                            "warmup-s": number,
                        }
                    ],
                    "limits": {
                        "max-header-bytes": whole,
                        "max-body-bytes": whole,
                        "header-timeout-ms": number,
                        "idle-timeout-ms": number,
                    },
                    "tenants": [
                        {
                            "name": "t",
                            "priority": whole,
                            "rate-per-s": number,
                            "burst": number,
                        }
                    ],
                }
            )
            route = table.match("h.example", "/a/b")
            assert route is not None and route.gather is not None
            tenant = (table.tenants or {})["t"]
            numbers = [
                route.timeout_ms,
                route.goal_ms,
                route.urgency_rank,
                route.max_leafs_count,
                route.gather.record_limit_count,
                route.gather.min_coverage_ratio,
                *dataclasses.astuple(table.services["s"])[1:],
                *dataclasses.astuple(table.limits),
                tenant.urgency_rank,
                tenant.rate_per_s,
                tenant.burst_count,
            ]
            self.assertEqual(
                [], [each for each in numbers if abs(each) > 1 << 53]
            )
        reader = documents.PlatformDocuments()
        self.assertRaises(
            ValueError, reader.read_routes, {"version": huge, "routes": []}
        )


class DialectTest(testtools.TestCase):
    """Check the headers."""

    def setUp(self) -> None:
        super().setUp()
        self.dialect = dialect.PlatformDialect()

    def request(self) -> forwardtypes.ForwardRequest:
        """Return a request of a caller."""
        headers = [
            (b"host", b"H.example:80"),
            (b"request-id", b"abc"),
            (b"deadline-ms", b"800"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"1"),
            (b"x-end", b"2"),
        ]
        return self.dialect.read_request(b"GET", b"/a/b?c", headers, b"")

    def test_request(self) -> None:
        """Guard against hop-by-hop headers that reach a leaf."""
        request = self.request()
        self.assertEqual("h.example", request.host)
        self.assertEqual(800.0, request.left_ms)
        sent = dict(self.dialect.leaf_headers(request, "leaf-1", 500))
        self.assertEqual(b"500", sent[b"deadline-ms"])
        self.assertEqual(b"leaf-1", sent[b"expect-instance"])
        self.assertEqual(b"abc", sent[b"request-id"])
        self.assertIn(b"x-end", sent)
        self.assertNotIn(b"x-hop", sent)
        self.assertNotIn(b"connection", sent)

    def test_answers(self) -> None:
        """Guard against counting a refused request as executed."""
        for status, headers, refused, misdirected in (
            (200, [(b"server-stamp", b"s")], False, False),
            (503, [(b"not-executed", b"1")], True, False),
            (503, [], False, False),
            (421, [], True, True),
            (500, [(b"server-stamp", b"s")], False, False),
        ):
            raw = httpconnection.RawReply(status, headers, b"")
            answer = self.dialect.read_answer(raw)
            self.assertEqual(
                (status, refused, misdirected),
                (status, answer.refused, answer.misdirected),
            )


class BoundaryTest(testtools.TestCase):
    """Check that only the platform package uses the platform's names."""

    def test_names_stay_in_the_package(self) -> None:
        """Guard against wire names in modules outside the package."""
        wire = [
            value.decode() if isinstance(value, bytes) else value
            for name, value in vars(names).items()
            if name.isupper() and isinstance(value, bytes | str)
        ]
        # The object API of the product has the same path.
        special = {"retry-after", names.OBJECTS_PATH}
        pattern = re.compile(
            "|".join(
                re.escape(f'"{word}"')
                for word in sorted(set(wire) - special)
                if "-" in word or "/" in word or "_" in word
            )
        )
        found = [
            f"{path.name}: {match}"
            for path in ROOT.glob("plantainhook/*.py")
            for match in pattern.findall(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

    def test_one_importer(self) -> None:
        """Guard against modules that depend on the platform package."""
        found = [
            path.name
            for path in ROOT.glob("plantainhook/*.py")
            if "plantainhook.platform" in path.read_text(encoding="utf-8")
        ]
        self.assertEqual(["commands_forward.py"], found)

    def test_package_makes_no_decision(self) -> None:
        """Guard against decisions in the package: time, chance or state."""
        banned = ("random", "trio.sleep", "blackboard", "queryplan")
        found = [
            f"{path.name}: {word}"
            for path in ROOT.glob("plantainhook/platform/*.py")
            for word in banned
            if word in path.read_text(encoding="utf-8")
        ]
        self.assertEqual([], found)


class SpecTest(testtools.TestCase):
    """Check that an entry may contain any JSON value."""

    def test_any_spec(self) -> None:
        """Guard against an entry that stops the leaf directory."""
        for text in (b"null", b'"x"', b"[1]", b"{}", b"7"):
            self.assertRaises(
                ValueError,
                documents.PlatformDocuments().read_leaf,
                "leaf-1",
                msgspec.json.decode(text),
            )
