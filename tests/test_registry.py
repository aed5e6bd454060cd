"""Tests of the registry."""

import testtools

from plantainhook import registry


class RegistryTest(testtools.TestCase):
    """Check names, factories and errors."""

    def test_create_by_name(self) -> None:
        """Guard against a registered factory that is not called."""
        policies: registry.Registry[list[int]] = registry.Registry("policy")
        policies.register("one")(lambda value: [value])
        self.assertEqual([4], policies.create("one", 4))
        self.assertEqual(("one",), policies.names())

    def test_duplicate_name(self) -> None:
        """Guard against a second factory that replaces the first."""
        policies: registry.Registry[list[int]] = registry.Registry("policy")
        policies.register("one")(list)
        self.assertRaises(ValueError, policies.register("one"), list)

    def test_unknown_name_lists_known(self) -> None:
        """Guard against an error that does not list the valid names."""
        policies: registry.Registry[list[int]] = registry.Registry("policy")
        policies.register("one")(list)
        error = self.assertRaises(KeyError, policies.create, "two")
        self.assertIn("known: one", str(error))
