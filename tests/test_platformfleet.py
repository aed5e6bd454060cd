"""Check the in-memory store against the protocol of the platform's store."""

import json
import typing

import testtools

from plantainhook.platform import names
from tests import platformfleet

KIND: typing.Final = "entries"
PATH: typing.Final = f"{names.OBJECTS_PATH}/{KIND}"


class PlatformStoreModelTest(testtools.TestCase):
    """Guard against a model that accepts what the platform's store refuses."""

    def setUp(self) -> None:
        """Create an empty store."""
        super().setUp()
        self.model = platformfleet.PlatformStoreModel()

    def _call(
        self, method: str, path: str, value: object = None, **query: str
    ) -> tuple[int, typing.Any]:
        body = b"" if value is None else json.dumps(value).encode()
        return self.model.call(method, path, query, body)

    def _create(self, *finalizers: str) -> int:
        """Create the object ``a``; return its revision."""
        value = {
            "meta": {"name": "a", "finalizers": finalizers},
            "spec": {"n": 1},
        }
        status, created = self._call("POST", PATH, value)
        self.assertEqual(201, status)
        revision = created["meta"]["revision"]
        assert isinstance(revision, int)
        return revision

    def _events(self, after: int) -> list[tuple[str, bool]]:
        _, reply = self._call("GET", PATH, watch=str(after))
        return [
            (event["object"]["meta"]["name"], event["deleted"])
            for event in reply["events"]
        ]

    def test_second_creation_conflicts(self) -> None:
        """A writer must see that another daemon was first."""
        revision = self._create()
        status, found = self._call("POST", PATH, {"meta": {"name": "a"}})
        self.assertEqual((409, {"n": 1}), (status, found["spec"]))
        self.assertEqual(revision, self.model.revision)

    def test_missing_objects(self) -> None:
        """Only POST creates objects."""
        for method in ("GET", "PUT", "DELETE"):
            self.assertEqual(404, self._call(method, f"{PATH}/a")[0])

    def test_revision_condition(self) -> None:
        """A write conditional on an old revision must change nothing."""
        revision = self._create()
        changed = {"meta": {"revision": revision}, "spec": {"n": 2}}
        self.assertEqual(200, self._call("PUT", f"{PATH}/a", changed)[0])
        status, found = self._call("PUT", f"{PATH}/a", changed)
        self.assertEqual((409, {"n": 2}), (status, found["spec"]))
        old = str(revision)
        status, _ = self._call("DELETE", f"{PATH}/a", revision=old)
        self.assertEqual(409, status)
        self.assertEqual([("a", False)], self._events(revision))

    def test_unchanged_write(self) -> None:
        """A PUT that changes nothing is no event."""
        revision = self._create()
        status, _ = self._call("PUT", f"{PATH}/a", {"spec": {"n": 1}})
        self.assertEqual(200, status)
        self.assertEqual([], self._events(revision))

    def test_status_is_separate(self) -> None:
        """PUT of the status keeps the spec, and the other way round."""
        self._create()
        self._call("PUT", f"{PATH}/a/status", {"status": {"s": 1}})
        self._call("PUT", f"{PATH}/a", {"spec": {"n": 2}})
        _, found = self._call("GET", f"{PATH}/a")
        self.assertEqual(
            ({"n": 2}, {"s": 1}), (found["spec"], found["status"])
        )

    def test_finalizers_delay_removal(self) -> None:
        """An object with finalizers is only marked by DELETE."""
        revision = self._create("f")
        self._call("DELETE", f"{PATH}/a")
        _, found = self._call("GET", f"{PATH}/a")
        self.assertTrue(found["meta"]["deleting"])
        self._call("PUT", f"{PATH}/a", {"spec": {"n": 1}})
        self.assertEqual(404, self._call("GET", f"{PATH}/a")[0])
        self.assertEqual(("a", True), self._events(revision)[-1])

    def test_platform_kinds_are_protected(self) -> None:
        """The platform owns the specs of leafs and of the configuration."""
        self.model.put(names.LEAF_KIND, "l", {"seq": 1})
        path = f"{names.OBJECTS_PATH}/{names.LEAF_KIND}"
        for method, where in (("POST", path), ("DELETE", f"{path}/l")):
            value = {"meta": {"name": "m"}}
            self.assertEqual(403, self._call(method, where, value)[0])
        status, _ = self._call("PUT", f"{path}/l", {"spec": {"seq": 2}})
        self.assertEqual(403, status)
