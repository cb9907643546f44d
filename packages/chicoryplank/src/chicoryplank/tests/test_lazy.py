"""Tests of packages with lazy imports."""

import importlib

import testtools

from chicoryplank.lazy import make_lazy_exports


class TestLazyExports(testtools.TestCase):
    """Tests that the exported names of a package can be loaded."""

    def test_every_name_exists(self):
        """Guards against an exported name that its module does not define."""
        for name in ("chicoryplank.orders", "chicoryplank.rebalance"):
            package = importlib.import_module(name)
            for item in package.__all__:
                self.assertIsNotNone(getattr(package, item))

    def test_unknown_name_raises_attribute_error(self):
        """Guards against errors other than AttributeError."""
        load, names = make_lazy_exports(
            "chicoryplank.orders", {"_lease": ("ControllerLease",)}
        )
        self.assertEqual(["ControllerLease"], names)
        error = self.assertRaises(AttributeError, load, "Nothing")
        self.assertIn("Nothing", str(error))
