"""Tests of the HTTP interface with invalid requests and responses."""

import asyncio
import itertools

import testtools

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_entry.tests.harness import (
    MODEL_BODY,
    make_completion_request,
    make_request,
    run_with_harness,
)

_SEND_PATH = "/v1/services/quotes/send"
# Statuses that tell a caller that its request did not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def _send_each(*messages, method="POST", error_to_raise=None, **limits):
    """Returns the responses to messages and the dispatched requests.

    Each message is sent on a separate connection.
    """

    async def scenario(harness):
        harness.dispatcher.error_to_raise = error_to_raise
        responses = []
        for data in messages:
            connection = await harness.connect()
            responses.append(await connection.request(data, method))
        return responses, harness.dispatcher.requests

    return run_with_harness(scenario, **limits)


class _RefusalTest(testtools.TestCase):
    def assert_refused(self, status, code, *messages, **options):
        """Asserts that all messages are refused and none is dispatched."""
        responses, requests = _send_each(*messages, **options)
        observed = [(item.status, item.error) for item in responses]
        self.assertEqual([(status, code)] * len(messages), observed)
        self.assertEqual([], requests)
        verdicts = {item.headers["x-verdict"] for item in responses}
        self.assertEqual({"not_run"}, verdicts)


class TestBodies(_RefusalTest):
    """Bodies that are malformed or too large."""

    def test_malformed_bodies_are_refused(self):
        """Guards against crashes of the parser and of later processing."""
        deep = [
            b'{"model": "drawing", "%s": %s%s}' % (name, b"[" * n, b"]" * n)
            for name in (b"prompt", b"messages")
            for n in (100, 900, 990, 50_000)
        ]
        self.assert_refused(
            400,
            "CP1201",
            *(
                make_completion_request(body)
                for body in (
                    b"",
                    b"{",
                    b"[]",
                    b"null",
                    b'{"model": "drawing", "top_p": NaN}',
                    b'{"model": "drawing", "top_p": -Infinity}',
                    b'{"model": "drawing", "seed": ' + b"9" * 5000 + b"}",
                    b'{"model": "\xff"}',
                    '{"model": "drawing"}'.encode("utf-16"),
                    b"\xef\xbb\xbf" + MODEL_BODY,
                    *deep,
                )
            ),
        )

    def test_wrong_types_are_refused(self):
        """Guards against values that backend servers interpret differently."""
        self.assert_refused(
            400,
            "CP1201",
            *(
                make_completion_request(b'{"model": "drawing", ' + rest + b"}")
                for rest in (
                    b'"model": 1',
                    b'"model": ""',
                    b'"stream": "yes"',
                    b'"stream": 1',
                    b'"max_tokens": "9"',
                    b'"max_tokens": 0',
                    b'"max_tokens": 1.5',
                    b'"max_tokens": true',
                    b'"model": "drawing"',
                    b'"stream": true, "stream": false',
                )
            ),
        )

    def test_unpaired_surrogates_are_refused(self):
        """Guards against text on which a backend server fails."""
        prompt = b'{"model": "drawing", "prompt": "%s"}'
        self.assert_refused(
            400,
            "CP1201",
            make_completion_request(b'{"model": "\\ud800"}'),
            make_completion_request(prompt % b"\\uD83D"),
            make_completion_request(prompt % b"\\ude00\\ud83d"),
        )
        responses, _ = _send_each(
            make_completion_request(prompt % b"\\ud83d\\ude00")
        )
        self.assertEqual(200, responses[0].status)

    def test_large_bodies_are_refused(self):
        """Guards against bodies over the limit, with or without a length."""
        large = make_completion_request(b"x" * 3000)
        chunked = large.replace(
            b"Content-Length: 3000", b"Transfer-Encoding: chunked"
        )
        head, _, body = chunked.partition(b"\r\n\r\n")
        announced = make_completion_request().replace(
            b"Content-Length: 20", b"Content-Length: 99999999999"
        )
        self.assert_refused(
            413,
            "CP1202",
            large,
            head + b"\r\n\r\nbb8\r\n" + body + b"\r\n0\r\n\r\n",
            announced,
            max_body_bytes=2048,
        )


class TestHeaders(_RefusalTest):
    """Headers that are malformed, missing or repeated."""

    def test_malformed_headers_are_refused(self):
        """Guards against malformed headers that are silently accepted."""
        self.assert_refused(
            400,
            "CP1201",
            make_completion_request(X_Priority="highest"),
            make_completion_request(X_Priority=""),
            make_completion_request(X_Priority="\xff"),
            make_completion_request(X_Request_Timeout_Ms="-1"),
            make_completion_request(X_Request_Timeout_Ms="1e3"),
            make_completion_request(X_Request_Timeout_Ms="\xb2"),
            make_completion_request(X_Request_Timeout_Ms="9" * 400),
            make_completion_request(X_Request_Timeout_Ms=""),
            make_request(_SEND_PATH, Idempotency_Key="k" * 256),
            make_request(_SEND_PATH, Idempotency_Key="k\xe9"),
            make_request(_SEND_PATH, Idempotency_Key="a\tb"),
        )

    def test_zero_timeout_is_refused(self):
        """Guards against executing a request whose deadline has passed."""
        self.assert_refused(
            504, "CP1205", make_completion_request(X_Request_Timeout_Ms="0")
        )

    def test_timeout_is_limited_to_the_maximum(self):
        """Guards against requests that stay in progress for years."""
        _, requests = _send_each(
            make_completion_request(X_Request_Timeout_Ms="9" * 12)
        )
        self.assertEqual(600, requests[0].timeout.total_seconds())

    def test_non_idempotent_request_requires_a_key(self):
        """Guards against an empty key, shared by all callers."""
        self.assert_refused(
            400,
            "CP1215",
            make_request(_SEND_PATH),
            make_request(_SEND_PATH, Idempotency_Key=""),
            make_request(_SEND_PATH, Idempotency_Key=" "),
        )

    def test_repeated_headers_are_refused(self):
        """Guards against claiming one key and sending another.

        The backend server could use a different occurrence of the header than
        the entry.
        """
        again = [
            make_request(_SEND_PATH, Idempotency_Key="a", idempotency_key="b"),
            make_completion_request(authorization="Bearer secret"),
            make_completion_request(X_Priority="bulk", x_priority="urgent"),
            make_completion_request(
                X_Request_Timeout_Ms="1", x_request_timeout_ms="9000"
            ),
        ]
        self.assert_refused(400, "CP1201", *again)

    def test_unknown_accounts_are_refused(self):
        """Guards against access without a valid token."""
        request_bytes = make_completion_request()
        self.assert_refused(
            401,
            "CP1203",
            make_request("/v1/completions", MODEL_BODY, token="guess"),
            make_request("/v1/completions", MODEL_BODY, token="\xff"),
            make_request("/v1/models", method="GET", token=""),
            request_bytes.replace(b"Bearer", b"Basic"),
        )


class TestPaths(_RefusalTest):
    """Unknown, ambiguous and malformed paths and methods."""

    def test_unknown_paths_have_an_error_code(self):
        """Guards against errors without a code and against redirects."""
        self.assert_refused(
            404,
            "CP1216",
            make_request("/"),
            make_request("/v1/nothing"),
            make_request("/v1/models/", method="GET"),
            make_request("/v1/services/quotes", method="GET"),
        )

    def test_unknown_methods_have_an_error_code(self):
        """Guards against errors without a code."""
        self.assert_refused(
            405,
            "CP1217",
            make_request("/v1/completions", method="GET"),
            make_request("/healthz", method="DELETE"),
            make_request("/v1/services/quotes/send", method="OPTIONS"),
        )
        responses, _ = _send_each(make_request("/v1/completions", method="GET"))
        self.assertEqual("post", responses[0].headers["allow"])

    def test_unknown_targets_are_refused(self):
        """Guards against access without a grant."""
        self.assert_refused(
            404,
            "CP1204",
            make_completion_request(b'{"model": "other"}'),
            make_request("/v1/services/bids/send", Idempotency_Key="k"),
        )

    def test_encoded_separators_are_refused(self):
        """Guards against a path that the service interprets differently.

        For example, `quotes%2Fx/send` was validated as `/x/send`, which
        requires no idempotency key, but forwarded as `/send`, which does.
        """
        self.assert_refused(
            400,
            "CP1201",
            make_request("/v1/services/quotes%2Fx/send"),
            make_request("/v1%2Fservices/quotes/send"),
            make_request("/v1/services/quotes/a%2F..%2Fsend"),
            make_request("/v1/services/quotes/x/%2e%2e/send"),
            make_request("/v1/services/quotes//send"),
        )

    def test_path_parameters_are_refused(self):
        """Guards against path parameters that are lost in forwarding."""
        self.assert_refused(
            400,
            "CP1201",
            make_request("/v1/services/quotes/a;v=1", method="GET"),
            make_request("/v1/services/quotes/a;v=1/b", method="GET"),
        )

    def test_head_response_has_no_body(self):
        """Guards against a body that is parsed as the next response."""

        async def scenario(harness):
            connection = await harness.connect()
            observed = []
            for path in ("/healthz", "/v1/nothing", "/v1/services/quotes/a"):
                data = make_request(path, method="HEAD")
                observed.append((await connection.request(data, "HEAD")).status)
            return observed

        self.assertEqual([200, 404, 200], run_with_harness(scenario))


class TestEntryFailures(testtools.TestCase):
    """Exceptions in the entry, malformed responses and disconnects."""

    def test_unexpected_exception_has_an_error_code(self):
        """Guards against an error response without code and verdict."""
        responses, _ = _send_each(
            make_completion_request(), error_to_raise=KeyError("x")
        )
        self.assertEqual(500, responses[0].status)
        self.assertEqual("CP1219", responses[0].error)
        self.assertEqual("may_have_run", responses[0].headers["x-verdict"])

    def test_status_of_a_request_that_may_have_run(self):
        """Guards against a status that tells a caller "not run" wrongly."""

        async def scenario(harness):
            statuses = {verdict: set() for verdict in Verdict}
            for verdict, code in itertools.product(Verdict, ErrorCode):
                harness.dispatcher.error_to_raise = ChicoryplankError(
                    code, "failed", verdict
                )
                connection = await harness.connect()
                response = await connection.request(make_completion_request())
                self.assertEqual(verdict.value, response.headers["x-verdict"])
                statuses[verdict].add(response.status)
            return statuses

        statuses = run_with_harness(scenario)
        self.assertEqual(
            {408, 429, 503}, statuses[Verdict.NOT_RUN] & _NOT_RUN_STATUSES
        )
        self.assertEqual(
            set(), statuses[Verdict.MAY_HAVE_RUN] & _NOT_RUN_STATUSES
        )
        self.assertEqual(set(), statuses[Verdict.RAN] & _NOT_RUN_STATUSES)

    def test_rejection_status_of_a_backend_server_has_a_verdict(self):
        """Guards against "not run" for a request that a backend server ran."""

        async def scenario(harness):
            verdicts = {}
            for status in (200, 500, *_NOT_RUN_STATUSES):
                harness.dispatcher.status = status
                connection = await harness.connect()
                response = await connection.request(make_completion_request())
                self.assertEqual(status, response.status)
                verdicts[status] = response.headers.get("x-verdict")
            return verdicts

        expected = dict.fromkeys((200, 500))
        expected |= dict.fromkeys(_NOT_RUN_STATUSES, "may_have_run")
        self.assertEqual(expected, run_with_harness(scenario))

    def test_malformed_response_has_an_error_code(self):
        """Guards against a response head that the server cannot send."""

        async def scenario(harness):
            responses = []
            for status, headers in (
                (0, ()),
                (100, ()),
                (600, ()),
                (2**32 - 1, ()),
                (200, (("content-type", "a\r\nX-Other: b"),)),
                (200, (("content-type", "a\x00b"),)),
                (200, (("content-type", "\u4e00"),)),
                (200, (("content type", "a"),)),
            ):
                harness.dispatcher.status = status
                harness.dispatcher.headers = headers
                connection = await harness.connect()
                response = await connection.request(make_completion_request())
                verdict = response.headers["x-verdict"]
                responses.append((response.status, response.error, verdict))
            return responses

        expected = [(502, "CP1206", "may_have_run")] * 8
        self.assertEqual(expected, run_with_harness(scenario))

    def test_disconnect_cancels_the_request(self):
        """Guards against running requests whose caller has disconnected."""

        async def scenario(harness):
            harness.dispatcher.release.clear()
            connection = await harness.connect()
            connection.send(make_completion_request())
            while not harness.dispatcher.requests:
                await asyncio.sleep(0.01)
            connection.writer.transport.abort()
            while not harness.dispatcher.cancelled:
                await asyncio.sleep(0.01)
            return harness.dispatcher.cancelled

        self.assertEqual(1, run_with_harness(scenario))
