"""Tests of packages whose names are imported when they are used."""

import importlib

import testtools

from chicoryplank.lazy import make_lazy_exports


class TestLazyExports(testtools.TestCase):
    """A package offers what its modules define."""

    def test_every_name_exists(self):
        """Guards against an exported name that no module has."""
        for name in ("chicoryplank.orders", "chicoryplank.rebalance"):
            package = importlib.import_module(name)
            for item in package.__all__:
                self.assertIsNotNone(getattr(package, item))

    def test_unknown_name(self):
        """Guards against another error than the one of a missing attribute."""
        load, names = make_lazy_exports(
            "chicoryplank.orders", {"_lease": ("ControllerLease",)}
        )
        self.assertEqual(["ControllerLease"], names)
        error = self.assertRaises(AttributeError, load, "Nothing")
        self.assertIn("Nothing", str(error))
