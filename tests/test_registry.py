"""Tests of the registry."""

import testtools

from plantainhook import registry


class RegistryTest(testtools.TestCase):
    """Check names, factories and errors."""

    def test_create_by_name(self) -> None:
        """Guards against a factory that is registered but not used."""
        policies: registry.Registry[list[int]] = registry.Registry("policy")
        policies.register("one")(lambda value: [value])
        self.assertEqual([4], policies.create("one", 4))
        self.assertEqual(("one",), policies.names())

    def test_duplicate_name(self) -> None:
        """Guards against a second factory that hides the first."""
        policies: registry.Registry[list[int]] = registry.Registry("policy")
        policies.register("one")(list)
        self.assertRaises(ValueError, policies.register("one"), list)

    def test_unknown_name_lists_known(self) -> None:
        """Guards against an error that does not say what is valid."""
        policies: registry.Registry[list[int]] = registry.Registry("policy")
        policies.register("one")(list)
        error = self.assertRaises(KeyError, policies.create, "two")
        self.assertIn("known: one", str(error))
