"""Time-outs of calls while the event loop of the caller is busy."""

import asyncio
import http.server
import threading
import time
import unittest

from limpetyard._http_client import HttpClient, OutcomeUnknownError

TIMEOUT_MS = 300
REPLY_DELAY_S = 0.15

# The event loop is busy from then on, for so long.
BUSY_AFTER_S = 0.1
BUSY_S = 0.4


class _Peer(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        if self.path == "/silent":
            time.sleep(2)
            self.close_connection = True
            return
        time.sleep(REPLY_DELAY_S)
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, format: str, *args: object) -> None:
        pass


class BusyCallerTest(unittest.TestCase):
    """Calls of a process whose event loop is blocked for a while."""

    def setUp(self):
        """Starts a peer in threads of its own."""
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Peer)
        server.daemon_threads = True
        self.url = f"http://127.0.0.1:{server.server_port}"
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)

    def call(self, path: str, busy_s: float) -> tuple[int | None, float]:
        """Returns the status, None after a time-out, and the time taken."""

        async def main() -> tuple[int | None, float]:
            client = HttpClient(1, "peer")
            loop = asyncio.get_running_loop()
            loop.call_later(BUSY_AFTER_S, time.sleep, busy_s)
            started_s = loop.time()
            status = None
            try:
                url = self.url + path
                resp = await client.call("GET", url, None, TIMEOUT_MS)
                status = resp.status
            except OutcomeUnknownError as exc:
                self.assertFalse(exc.disconnected)
            finally:
                took_s = loop.time() - started_s
                await client.close()
            return status, took_s

        return asyncio.run(main())

    def test_reply_while_busy(self):
        """A reply that had arrived in time was dropped as a time-out.

        So an owner that was busy for 0.6 s lost all polls at once, and polled
        all workers again on new connections.
        """
        self.assertEqual(self.call("/reply", BUSY_S)[0], 200)

    def test_silent_peer(self):
        """A call to a silent peer lasts longer than its time-out."""
        status, took_s = self.call("/silent", 0.0)
        self.assertIsNone(status)
        self.assertLess(took_s, TIMEOUT_MS / 1000 + 0.15)

    def test_silent_peer_while_busy(self):
        """A call of a busy process to a silent peer has no time-out."""
        status, took_s = self.call("/silent", BUSY_S)
        self.assertIsNone(status)
        self.assertLess(took_s, 2 * TIMEOUT_MS / 1000 + BUSY_S)


if __name__ == "__main__":
    unittest.main()
