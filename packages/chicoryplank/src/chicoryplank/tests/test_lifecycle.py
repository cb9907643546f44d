"""Tests of the application life cycle."""

import asyncio

import testtools

from chicoryplank.lifecycle import Application


class TestApplication(testtools.TestCase):
    """Tests the order in which hooks start and stop components."""

    def _make_hook(self, calls, name, error=None):
        async def hook():
            calls.append(name)
            if error is not None:
                raise error

        return hook

    def test_stops_in_reverse_order(self):
        """Guards against stopping a component that others still use."""
        calls = []
        application = Application("test")
        for name in ("store", "server"):
            application.add_hooks(
                name,
                self._make_hook(calls, f"start {name}"),
                self._make_hook(calls, f"stop {name}"),
            )

        async def run():
            await application.start()
            await application.stop()

        asyncio.run(run())
        expected = ["start store", "start server", "stop server", "stop store"]
        self.assertEqual(expected, calls)
        self.assertEqual("stopped", application.state)

    def test_failed_start_stops_the_started_components(self):
        """Guards against open sockets of a daemon that failed to start."""
        calls = []
        application = Application("test")
        application.add_hooks(
            "store", None, self._make_hook(calls, "stop store")
        )
        error = RuntimeError("port in use")
        application.add_hooks("server", self._make_hook(calls, "fail", error))
        self.assertRaises(RuntimeError, asyncio.run, application.start())
        self.assertEqual(["fail", "stop store"], calls)
