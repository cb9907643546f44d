"""Tests of intents and plans."""

import json
import pathlib

import testtools
from hypothesis import given, settings, strategies

from chicoryplank.configuration import (
    Capacity,
    InsufficientCapacityError,
    InvalidInputError,
    SnapshotReader,
    create_plan,
    decode_plan,
    encode_intent,
    encode_plan,
    format_plan,
    parse_intent,
)
from chicoryplank.configuration._plan import apply_intent
from chicoryplank.configuration._resources import (
    ACCOUNT_FIELDS,
    GROUP_FIELDS,
    SERVICE_FIELDS,
)
from chicoryplank.configuration.tests.samples import (
    CAPACITY,
    make_account,
    make_first_intent,
    make_limit_intent,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode

_DOCS = pathlib.Path(__file__).resolve().parents[6] / "docs"
_EMPTY = SnapshotReader().snapshot


def make_base():
    """Returns the snapshot of version 1."""
    return apply_intent(_EMPTY, make_first_intent())


def parse(**sections):
    """Parses an intent from its sections."""
    return parse_intent(json.dumps(sections))


class TestIntent(testtools.TestCase):
    """Validation of intents, alone and against a version."""

    def find_paths(self, function, *arguments):
        """Returns the paths of the errors that a call reports."""
        error = self.assertRaises(InvalidInputError, function, *arguments)
        return {problem.path for problem in error.problems}

    def test_all_errors_at_once(self):
        """Guards against validation that stops at the first error."""
        account = make_account("a", tokens_per_s=-1, priority="high", x=1)
        del account["requests_per_s"]
        text = json.dumps(
            {
                "accounts": {
                    "add": {"a": account, "bad name": make_account("b")}
                },
                "groups": {"change": {"llm": {"replicas": 2.5}, "other": {}}},
                "leaving": {"add": ["x", "x"]},
                "evacuated": {"add": ["a zone"]},
                "zones": {},
            }
        )
        expected = {
            "accounts.add (name)",
            "accounts.add.a.tokens_per_s",
            "accounts.add.a.priority",
            "accounts.add.a.x",
            "accounts.add.a.requests_per_s",
            "groups.change.llm.replicas",
            "groups.change.other",
            "leaving.add",
            "evacuated.add[0]",
            "zones",
        }
        self.assertEqual(expected, self.find_paths(parse_intent, text))

    def test_conflicting_edits(self):
        """Guards against intents whose result depends on the order of edits."""
        text = json.dumps(
            {
                "accounts": {"add": {"a": make_account("a")}, "remove": ["a"]},
                "leaving": {"add": ["i"], "remove": ["i"]},
                "evacuated": {"add": ["z"], "remove": ["z"]},
            }
        )
        expected = {"accounts.a", "leaving.i", "evacuated.z"}
        self.assertEqual(expected, self.find_paths(parse_intent, text))
        self.assertEqual({"(whole)"}, self.find_paths(parse_intent, "{}"))

    def test_edits_that_do_not_fit_the_version(self):
        """Guards against silently overwritten or ignored resources."""
        intent = parse(
            accounts={
                "add": {"account-0": make_account("new")},
                "change": {"absent": {"tokens_per_s": 5}},
            },
            groups={"remove": ["absent"]},
            leaving={"remove": ["llm-0"]},
            evacuated={"remove": ["z"]},
        )
        expected = {
            "accounts.add.account-0",
            "accounts.change.absent",
            "groups.remove.absent",
            "leaving.remove.llm-0",
            "evacuated.remove.z",
        }
        problem_paths = self.find_paths(
            create_plan, make_base(), intent, CAPACITY
        )
        self.assertEqual(expected, problem_paths)

    def test_broken_references(self):
        """Guards against missing groups, shared tokens and ambiguous names."""
        other = {
            "models": ["m"],
            "version": "v1",
            "replicas": 1,
            "tokens_per_s": 10,
        }
        intent = parse(
            accounts={
                "add": {
                    "twin": make_account("0"),
                    "lost": make_account("lost", groups=["absent"]),
                    "both": make_account("both", groups=["llm", "tablets"]),
                }
            },
            groups={"add": {"tablets": other}},
            services={"change": {"quotes": {"deployment": "llm"}}},
        )
        expected = {
            "accounts.twin.token_sha256",
            "accounts.lost.groups",
            "accounts.both.groups",
            "services.quotes.deployment",
        }
        problem_paths = self.find_paths(
            create_plan, make_base(), intent, CAPACITY
        )
        self.assertEqual(expected, problem_paths)

    def test_no_difference(self):
        """Guards against new versions without a difference."""
        intent = make_limit_intent("account-0", 100)
        problem_paths = self.find_paths(
            create_plan, make_base(), intent, CAPACITY
        )
        self.assertEqual({"(whole)"}, problem_paths)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        strategies.recursive(
            strategies.none()
            | strategies.floats()
            | strategies.text(max_size=5)
            | strategies.sampled_from(["llm", "add", {}, []]),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        [
                            "accounts",
                            "groups",
                            "leaving",
                            "evacuated",
                            "add",
                            "change",
                            "remove",
                        ]
                    ),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=10,
        )
    )
    def test_any_json_is_accepted_or_listed(self, value):
        """Guards against values on which a validator raises another error."""
        try:
            parsed = parse_intent(json.dumps(value))
        except InvalidInputError as error:
            self.assertNotEqual((), error.problems)
        else:
            encoded = json.dumps(encode_intent(parsed))
            self.assertEqual(parsed, parse_intent(encoded))

    def test_documentation_lists_every_field(self):
        """Guards against fields or bounds that operators cannot look up."""
        text = (_DOCS / "operators.md").read_text()
        for title, fields in (
            ("accounts", ACCOUNT_FIELDS),
            ("groups", GROUP_FIELDS),
            ("services", SERVICE_FIELDS),
        ):
            section = text.split(f"### Fields of {title}")[1].split("\n#")[0]
            for field in fields:
                row = f"| `{field.name}` | {field.validator.allowed} |"
                self.assertIn(row, section)


class TestPlan(testtools.TestCase):
    """Differences, comparison of capacity, and plan files."""

    def test_shows_old_and_new_values(self):
        """Guards against a plan that does not show all of its changes."""
        intent = parse(
            accounts={"change": {"account-0": {"tokens_per_s": 250}}},
            leaving={"add": ["llm-0"]},
        )
        plan = create_plan(make_base(), intent, CAPACITY)
        shown = [(item.path, item.old, item.new) for item in plan.changes]
        expected = [
            ("accounts.account-0.tokens_per_s", 100.0, 250.0),
            ("leaving.llm-0", False, True),
        ]
        self.assertEqual(expected, shown)
        self.assertEqual(1, plan.base_version)
        text = format_plan(plan)
        self.assertIn("~ accounts.account-0.tokens_per_s: 100 -> 250", text)
        self.assertIn("+ leaving.llm-0", text)

    def test_rejects_limits_above_capacity(self):
        """Guards against rate limits above the capacity of live replicas."""
        intent = make_limit_intent("account-0", 3801)
        error = self.assertRaises(
            InsufficientCapacityError,
            create_plan,
            make_base(),
            intent,
            CAPACITY,
        )
        self.assertIn("needs 3 replicas and 4001 tokens/s", error.message)
        self.assertIn("are 4 replicas and 4000 tokens/s", error.message)
        create_plan(make_base(), make_limit_intent("account-0", 3800), CAPACITY)

    def test_draining_instances_are_not_available(self):
        """Guards against draining below the replicas that a group needs."""
        one = parse(leaving={"add": ["llm-0"]})
        two = parse(leaving={"add": ["llm-0", "llm-1"]})
        create_plan(make_base(), one, CAPACITY)
        error = self.assertRaises(
            InsufficientCapacityError, create_plan, make_base(), two, CAPACITY
        )
        self.assertEqual(2, error.shortfalls[0].available_replicas)

    def test_evacuation_warns_but_is_not_refused(self):
        """Guards against an evacuation that waits for lower limits."""
        zones = {f"llm-{number}": f"z{number % 2}" for number in range(4)}
        zones |= {"tablets-0": "z0", "quotes-0": "z0"}
        capacity = Capacity(CAPACITY.live, zones)
        evacuate = parse(evacuated={"add": ["z0", "typo"]})
        plan = create_plan(make_base(), evacuate, capacity)
        self.assertEqual(2, plan.needs[0].available_replicas)
        expected = {
            "zone typo has no live instance in the instance list",
            "service quotes has no replica outside the evacuated zones",
        }
        self.assertLessEqual(expected, set(plan.warnings))
        self.assertIn("the evacuation causes the shortfall", plan.warnings[1])
        self.assertIn("+ evacuated.z0", format_plan(plan))
        snapshot = apply_intent(make_base(), evacuate)
        drain = parse(leaving={"add": ["llm-1"]})
        self.assertRaises(
            InsufficientCapacityError, create_plan, snapshot, drain, capacity
        )
        end = parse(evacuated={"remove": ["z0", "typo"]})
        plan = create_plan(snapshot, end, capacity)
        self.assertEqual(4, plan.needs[0].available_replicas)
        self.assertEqual((), plan.warnings)
        self.assertIn("- evacuated.z0", format_plan(plan))

    def test_group_that_is_evacuated_completely(self):
        """Guards against a plan that hides that a group serves nothing."""
        zones = dict.fromkeys(CAPACITY.live["llm"], "z")
        evacuate = parse(evacuated={"add": ["z"]})
        plan = create_plan(
            make_base(), evacuate, Capacity(CAPACITY.live, zones)
        )
        self.assertIn(
            "group llm has no replica outside the evacuated zones",
            plan.warnings,
        )

    def test_existing_shortfall_does_not_block(self):
        """Guards against the loss of a zone blocking unrelated changes."""
        reduced_capacity = Capacity({"llm": frozenset({"llm-0"})})
        plan = create_plan(
            make_base(), make_limit_intent("account-0", 50), reduced_capacity
        )
        self.assertIn(
            "the shortfall existed before this change", plan.warnings[0]
        )
        larger_group = parse(groups={"change": {"llm": {"replicas": 4}}})
        self.assertRaises(
            InsufficientCapacityError,
            create_plan,
            make_base(),
            larger_group,
            reduced_capacity,
        )

    def test_plan_file_round_trip(self):
        """Guards against a plan file that differs from what was reviewed."""
        plan = create_plan(
            make_base(), make_limit_intent("account-0", 5), CAPACITY
        )
        document = encode_plan(plan)
        self.assertEqual(plan, decode_plan(json.dumps(document)))
        document["intent"]["accounts"]["change"]["account-0"] = {
            "tokens_per_s": 900
        }
        error = self.assertRaises(
            ChicoryplankError, decode_plan, json.dumps(document)
        )
        self.assertEqual(ErrorCode.INVALID_PLAN, error.code)
        for text in ("", "[]", "{}", "[" * 100_000):
            self.assertRaises(ChicoryplankError, decode_plan, text)

    def test_same_intent_same_digest(self):
        """Guards against digests that depend on the order of sets."""
        first = create_plan(_EMPTY, make_first_intent(), CAPACITY)
        second = create_plan(_EMPTY, make_first_intent(), CAPACITY)
        self.assertEqual(first.digest, second.digest)
