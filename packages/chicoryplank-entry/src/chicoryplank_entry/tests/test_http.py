"""Tests of the HTTP interface against wrong requests."""

import asyncio

import testtools

from chicoryplank_entry.tests.site import (
    MODEL_BODY,
    make_call,
    make_completion,
    run_site,
)

_SEND = "/v1/services/quotes/send"


def _ask(*calls, method="POST", fault=None, **limits):
    """Returns the responses and the requests that were dispatched."""

    async def work(site):
        site.dispatcher.fault = fault
        answers = []
        for data in calls:
            caller = await site.connect()
            answers.append(await caller.ask(data, method))
        return answers, site.dispatcher.requests

    return run_site(work, **limits)


class _RejectionTest(testtools.TestCase):
    def assert_rejected(self, status, code, *calls, **options):
        """Every call gets the code and none is dispatched."""
        answers, requests = _ask(*calls, **options)
        found = [(item.status, item.error) for item in answers]
        self.assertEqual([(status, code)] * len(calls), found)
        self.assertEqual([], requests)
        verdicts = {item.headers["x-verdict"] for item in answers}
        self.assertEqual({"not_run"}, verdicts)


class TestBodies(_RejectionTest):
    """Bodies that are malformed or too large."""

    def test_malformed_bodies_are_rejected(self):
        """Guards against faults inside the parser and behind it."""
        deep = [
            b'{"model": "drawing", "%s": %s%s}' % (name, b"[" * n, b"]" * n)
            for name in (b"prompt", b"messages")
            for n in (100, 900, 990, 50_000)
        ]
        self.assert_rejected(
            400,
            "CP1201",
            *(
                make_completion(body)
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

    def test_wrong_types_are_rejected(self):
        """Guards against values that the backend server reads differently."""
        self.assert_rejected(
            400,
            "CP1201",
            *(
                make_completion(b'{"model": "drawing", ' + rest + b"}")
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

    def test_half_characters_are_rejected(self):
        """Guards against text on which a backend server fails."""
        prompt = b'{"model": "drawing", "prompt": "%s"}'
        self.assert_rejected(
            400,
            "CP1201",
            make_completion(b'{"model": "\\ud800"}'),
            make_completion(prompt % b"\\uD83D"),
            make_completion(prompt % b"\\ude00\\ud83d"),
        )
        answers, _ = _ask(make_completion(prompt % b"\\ud83d\\ude00"))
        self.assertEqual(200, answers[0].status)

    def test_large_bodies_are_rejected(self):
        """Guards against bodies beyond the limit, announced or not."""
        large = make_completion(b"x" * 3000)
        chunked = large.replace(
            b"Content-Length: 3000", b"Transfer-Encoding: chunked"
        )
        head, _, body = chunked.partition(b"\r\n\r\n")
        announced = make_completion().replace(
            b"Content-Length: 20", b"Content-Length: 99999999999"
        )
        self.assert_rejected(
            413,
            "CP1202",
            large,
            head + b"\r\n\r\nbb8\r\n" + body + b"\r\n0\r\n\r\n",
            announced,
            max_body_bytes=2048,
        )


class TestHeaders(_RejectionTest):
    """Headers with noise."""

    def test_noise_is_rejected(self):
        """Guards against headers that are silently taken for something."""
        self.assert_rejected(
            400,
            "CP1201",
            make_completion(X_Priority="highest"),
            make_completion(X_Priority=""),
            make_completion(X_Priority="\xff"),
            make_completion(X_Request_Timeout_Ms="-1"),
            make_completion(X_Request_Timeout_Ms="1e3"),
            make_completion(X_Request_Timeout_Ms="\xb2"),
            make_completion(X_Request_Timeout_Ms="9" * 400),
            make_completion(X_Request_Timeout_Ms=""),
            make_call(_SEND, Idempotency_Key="k" * 256),
            make_call(_SEND, Idempotency_Key="k\xe9"),
            make_call(_SEND, Idempotency_Key="a\tb"),
        )

    def test_deadline_in_the_past_is_rejected(self):
        """Guards against work for a caller that no longer waits."""
        self.assert_rejected(
            504, "CP1205", make_completion(X_Request_Timeout_Ms="0")
        )

    def test_long_deadline_is_cut(self):
        """Guards against requests that stay for years."""
        _, requests = _ask(make_completion(X_Request_Timeout_Ms="9" * 12))
        self.assertEqual(600, requests[0].timeout.total_seconds())

    def test_non_idempotent_call_needs_a_key(self):
        """Guards against an empty key that all callers would share."""
        self.assert_rejected(
            400,
            "CP1215",
            make_call(_SEND),
            make_call(_SEND, Idempotency_Key=""),
            make_call(_SEND, Idempotency_Key=" "),
        )

    def test_repeated_headers_are_rejected(self):
        """Guards against a claim of one key and a call with another."""
        again = [
            make_call(_SEND, Idempotency_Key="a", idempotency_key="b"),
            make_completion(authorization="Bearer secret"),
            make_completion(X_Priority="bulk", x_priority="urgent"),
            make_completion(
                X_Request_Timeout_Ms="1", x_request_timeout_ms="9000"
            ),
        ]
        self.assert_rejected(400, "CP1201", *again)

    def test_unknown_accounts_are_rejected(self):
        """Guards against access without a valid token."""
        call = make_completion()
        self.assert_rejected(
            401,
            "CP1203",
            make_call("/v1/completions", MODEL_BODY, token="guess"),
            make_call("/v1/completions", MODEL_BODY, token="\xff"),
            make_call("/v1/models", method="GET", token=""),
            call.replace(b"Bearer", b"Basic"),
        )


class TestPaths(_RejectionTest):
    """Paths and methods."""

    def test_unknown_paths_get_a_code(self):
        """Guards against errors without a code, and against redirects."""
        self.assert_rejected(
            404,
            "CP1216",
            make_call("/"),
            make_call("/v1/nothing"),
            make_call("/v1/models/", method="GET"),
            make_call("/v1/services/quotes", method="GET"),
        )

    def test_unknown_methods_get_a_code(self):
        """Guards against errors without a code."""
        self.assert_rejected(
            405,
            "CP1217",
            make_call("/v1/completions", method="GET"),
            make_call("/healthz", method="DELETE"),
            make_call("/v1/services/quotes/send", method="OPTIONS"),
        )
        answers, _ = _ask(make_call("/v1/completions", method="GET"))
        self.assertEqual("post", answers[0].headers["allow"])

    def test_unknown_names_are_rejected(self):
        """Guards against access without a grant."""
        self.assert_rejected(
            404,
            "CP1204",
            make_completion(b'{"model": "other"}'),
            make_call("/v1/services/bids/send", Idempotency_Key="k"),
        )

    def test_encoded_separators_are_rejected(self):
        """Guards against a path that the service reads differently.

        `quotes%2Fx/send` was checked as `/x/send`, which needs no key, and
        sent as `/send`, which does.
        """
        self.assert_rejected(
            400,
            "CP1201",
            make_call("/v1/services/quotes%2Fx/send"),
            make_call("/v1%2Fservices/quotes/send"),
            make_call("/v1/services/quotes/a%2F..%2Fsend"),
            make_call("/v1/services/quotes/x/%2e%2e/send"),
            make_call("/v1/services/quotes//send"),
        )

    def test_path_parameters_are_rejected(self):
        """Guards against a part of the path that is lost on the way."""
        self.assert_rejected(
            400,
            "CP1201",
            make_call("/v1/services/quotes/a;v=1", method="GET"),
            make_call("/v1/services/quotes/a;v=1/b", method="GET"),
        )

    def test_head_gets_no_body(self):
        """Guards against a body that the next response would begin with."""

        async def work(site):
            caller = await site.connect()
            found = []
            for path in ("/healthz", "/v1/nothing", "/v1/services/quotes/a"):
                data = make_call(path, method="HEAD")
                found.append((await caller.ask(data, "HEAD")).status)
            return found

        self.assertEqual([200, 404, 200], run_site(work))


class TestFaults(testtools.TestCase):
    """Faults in the entry itself."""

    def test_unexpected_fault_gets_a_code(self):
        """Guards against an answer that says nothing of the verdict."""
        answers, _ = _ask(make_completion(), fault=KeyError("x"))
        self.assertEqual(500, answers[0].status)
        self.assertEqual("CP1219", answers[0].error)
        self.assertEqual("may_have_run", answers[0].headers["x-verdict"])

    def test_malformed_response_gets_a_code(self):
        """Guards against a response head that the server cannot write."""

        async def work(site):
            answers = []
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
                site.dispatcher.status = status
                site.dispatcher.headers = headers
                caller = await site.connect()
                answer = await caller.ask(make_completion())
                verdict = answer.headers["x-verdict"]
                answers.append((answer.status, answer.error, verdict))
            return answers

        expected = [(502, "CP1206", "may_have_run")] * 8
        self.assertEqual(expected, run_site(work))

    def test_caller_that_goes_away_ends_its_request(self):
        """Guards against requests that stay in progress for nobody."""

        async def work(site):
            site.dispatcher.release.clear()
            caller = await site.connect()
            caller.send(make_completion())
            while not site.dispatcher.requests:
                await asyncio.sleep(0.01)
            caller.writer.transport.abort()
            while not site.dispatcher.cancelled:
                await asyncio.sleep(0.01)
            return site.dispatcher.cancelled

        self.assertEqual(1, run_site(work))
