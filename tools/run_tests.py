"""Runs all tests and tolerates the known failures of KNOWN-RED.txt.

A known failure is a line `test: <dotted test id>` of KNOWN-RED.txt. These
tests still run; their failures are printed but do not fail the run. A listed
test that passes fails the run, so that stale entries are removed. A line
`flaky: <dotted test id>` names a test that fails in some runs only, and may
pass.
"""

import argparse
import doctest
import importlib
import pathlib
import pkgutil
import sys
import unittest

import chicoryplank

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_known_failures(
    path: pathlib.Path, prefix: str = "test:"
) -> frozenset[str]:
    """Returns the ids of the tests that are known to fail.

    Args:
        path: File with the known failures.
        prefix: Start of the lines with a test id.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    return frozenset(
        line[len(prefix) :].strip() for line in lines if line.startswith(prefix)
    )


def find_tests(pattern: str) -> unittest.TestSuite:
    """Collects the tests in the source folder of each package."""
    suite = unittest.TestSuite()
    folders = [*ROOT.glob("packages/*/src/*/"), *ROOT.glob("platform/*/")]
    for folder in sorted(folders):
        if not (folder / "__init__.py").exists():
            continue
        loader = unittest.TestLoader()
        suite.addTests(
            loader.discover(str(folder), pattern, top_level_dir=folder.parent)
        )
        for error in loader.errors:
            print(error, file=sys.stderr)
    return suite


def find_examples() -> unittest.TestSuite:
    """Collects the examples in the docstrings of the library."""
    suite = unittest.TestSuite()
    for module in pkgutil.walk_packages(
        chicoryplank.__path__, f"{chicoryplank.__name__}."
    ):
        if ".tests" not in module.name:
            imported = importlib.import_module(module.name)
            suite.addTests(doctest.DocTestSuite(imported))
    return suite


def flatten_suite(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Returns the test cases of a nested suite."""
    tests = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests.extend(flatten_suite(item))
        else:
            tests.append(item)
    return tests


def main() -> int:
    """Runs the tests and returns the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--match", default="", help="part of a test id")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    tests = [
        test
        for test in [
            *flatten_suite(find_tests("test_*.py")),
            *flatten_suite(find_examples()),
        ]
        if options.match in test.id()
    ]
    runner = unittest.TextTestRunner(verbosity=2 if options.verbose else 1)
    result = runner.run(unittest.TestSuite(tests))
    known_failures = read_known_failures(ROOT / "KNOWN-RED.txt")
    flaky_tests = read_known_failures(ROOT / "KNOWN-RED.txt", "flaky:")
    failed = {test.id() for test, _ in result.failures + result.errors}
    known_failed = failed & (known_failures | flaky_tests)
    stale = (known_failures & {test.id() for test in tests}) - failed
    unexpected = failed - known_failures - flaky_tests
    for name in sorted(known_failed):
        print(f"known failure passed over: {name}")
    for name in sorted(stale):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(unexpected)} failed")
    is_successful = result.testsRun > 0 and not unexpected and not stale
    return 0 if is_successful else 1


if __name__ == "__main__":
    sys.exit(main())
