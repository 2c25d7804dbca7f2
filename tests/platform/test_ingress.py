"""Callers' requests, operators' records and settings of the platform."""

import asyncio
import unittest

import msgspec
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from limpetyard._error_kinds import ErrorKind
from limpetyard.errors import RequestError, SettingError
from limpetyard.jobs import (
    InvalidJobError,
    QueueParams,
    Resources,
    decode_spec,
    encode_spec,
)
from limpetyard.node import SiteView
from limpetyard.platform._ingress import (
    DEFAULT_DEADLINE_MS,
    Ingress,
    parse_job,
)
from limpetyard.platform._operator_records import SiteViewUpdater
from limpetyard.platform._settings import load_settings
from limpetyard.store import StoredRecord

ID = "5c0e7a21d94b36f8"
QUEUE_PARAMS = QueueParams("q", "s")
CONFIG = (
    b'{"version":%d,"routes":[{"name":"r","host":"a.example",'
    b'"pathPrefix":"/p/","service":"s","kind":"k","priority":2,'
    b'"maxAttempts":4,"stretch":2.2,"targetLatencyMs":250},'
    b'{"name":"r2","host":"a.example","pathPrefix":"/p/q/","service":"s"}]}'
)


class ParseJobTest(unittest.TestCase):
    """Decoding of jobs."""

    def test_all_fields(self):
        """Each wire field sets its field of the specification."""
        body = (
            b'{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":256,"gpus":1,'
            b'"estimatedMs":900,"affinity":"r1"},{"count":3,"after":[0],'
            b'"checkpointing":true,"gang":true,"sameRack":true,'
            b'"requires":"a","antiAffinity":2,"allowDuplicates":true,'
            b'"longRunning":true,"image":"i","targetMs":9,"fills":true,'
            b'"maxUnavailable":1,"news":1}]}'
        )
        first, second = parse_job(ID, QUEUE_PARAMS, body, 5.0).steps
        self.assertEqual(first.need, Resources(500, 256, 1))
        self.assertEqual(first.data_rack, "r1")
        self.assertEqual(second.after, (0,))
        self.assertEqual(second.per_worker, 2)
        self.assertEqual(second.label, "a")
        self.assertTrue(second.copies and second.long_running)
        self.assertEqual(second.reserved.cores_milli, 0)

    def test_occurrences(self):
        """A job with a repeat count has timed occurrences."""
        body = (
            b'{"spec":"x","steps":[{"count":1}],"repeatCount":3,'
            b'"initialDelayMs":1000,"intervalMs":500}'
        )
        spec = parse_job(ID, QUEUE_PARAMS, body, 5.0)
        self.assertTrue(spec.timed)
        self.assertEqual(spec.occurrences, 3)

    def test_malformed(self):
        """The error names the invalid value."""
        bad = {
            b"": "body",
            b"[]": "body",
            b'{"spec":"x"}': "steps",
            b'{"spec":"x","steps":[]}': "0 steps",
            b'{"spec":"x","steps":[{"count":-1}]}': "count -1",
            b'{"spec":"x","steps":[{"count":1,"after":[0]}]}': "after 0",
            b'{"spec":"x","steps":[{"count":1,"cpu":-5}]}': "cores_milli -5",
            b'{"spec":"x","steps":[{"count":99999}]}': "99999 tasks",
            b'{"spec":3,"steps":[{"count":1}]}': "spec",
            b'{"spec":"' + b"y" * 4001 + b'","steps":[{}]}': "4001 bytes",
        }
        for body, expected in bad.items():
            with self.assertRaises(InvalidJobError) as caught:
                parse_job(ID, QUEUE_PARAMS, body, 5.0)
            self.assertIn(expected, str(caught.exception))

    def test_what_cannot_be_stored(self):
        """A job that cannot be read or stored got status 500, not 400."""
        deep = b'{"spec":"x","steps":[{}],"later":' + b"[" * 100_000
        bodies = [deep + b"]" * 100_000 + b"}"]
        for field in (
            *("cpu", "memMb", "gpus", "estimatedMs", "antiAffinity"),
            *("targetMs", "maxUnavailable"),
        ):
            for number in (b"%d" % 2**64, b"%d" % 2**127, b"%d" % 2**53 + b"1"):
                step = b'{"%b":%b}' % (field.encode(), number)
                bodies.append(b'{"spec":"x","steps":[%b]}' % step)
        bodies.append(b'{"spec":"x","steps":[{"estimatedMs":1e300}]}')
        for body in bodies:
            with self.subTest(body[:60]), self.assertRaises(InvalidJobError):
                parse_job(ID, QUEUE_PARAMS, body, 5.0)

    def test_tasks_that_are_due_at_once(self):
        """A body of 70 bytes made 100 million tasks in each owner."""
        schedules = {
            "": False,
            ',"initialDelayMs":1': False,
            ',"initialDelayMs":9e12,"intervalMs":0.001': False,
            ',"initialDelayMs":1,"intervalMs":5e-324': False,
            ',"initialDelayMs":9e12,"intervalMs":10000': True,
        }
        text = '{"spec":"x","steps":[{"count":10000}],"repeatCount":10000%s}'
        for schedule, accepted in schedules.items():
            body = (text % schedule).encode()
            with self.subTest(schedule):
                if accepted:
                    parse_job(ID, QUEUE_PARAMS, body, 9e11)
                    continue
                with self.assertRaisesRegex(InvalidJobError, "tasks are due"):
                    parse_job(ID, QUEUE_PARAMS, body, 9e11)

    def test_largest_amounts(self):
        """What is accepted can be stored."""
        step = {"cpu": 2**53, "estimatedMs": 2**53, "antiAffinity": 2**53}
        body = msgspec.json.encode({"spec": "x", "steps": [step]})
        spec = parse_job(ID, QUEUE_PARAMS, body, 5.0)
        self.assertEqual(decode_spec(encode_spec(spec)), spec)

    def test_bad_id(self):
        """An id is 16 hexadecimal digits."""
        for job_id in ("", "xyz", ID + "0", "g" * 16):
            with self.assertRaises(InvalidJobError):
                parse_job(
                    job_id, QUEUE_PARAMS, b'{"spec":"x","steps":[{}]}', 5.0
                )


class _FakeJobService:
    """A job service that records submissions and returns fixed results."""

    def __init__(self):
        self.calls: list[tuple] = []

    async def submit(self, spec, deadline_ms):
        self.calls.append(("submit", spec.id, deadline_ms))

    async def state(self, job_id, queue, deadline_ms):
        self.calls.append(("state", job_id, queue, deadline_ms))
        raise RequestError(ErrorKind.JOB_GONE, job_id)

    async def cancel(self, job_id, queue, deadline_ms):
        self.calls.append(("cancel", job_id, queue, deadline_ms))
        raise RequestError(ErrorKind.STORE_REFUSED, "busy", 1)

    async def pending(self, queue):
        return 12


class IngressTest(unittest.IsolatedAsyncioTestCase):
    """Requests and responses."""

    def setUp(self):
        """Creates an ingress without a configuration."""
        self.view = SiteView()
        self.view_updater = SiteViewUpdater(self.view)
        self.job_service = _FakeJobService()
        self.ingress = Ingress(self.view, self.job_service, lambda: 0.0)

    def configure(self, version: int = 7) -> None:
        """Applies a configuration record."""
        record = StoredRecord(0, "config", CONFIG % version)
        self.view_updater.apply([record])

    async def request(self, method: str, path: str, host: str = "a.example"):
        """Returns the response to a request without a body."""
        req = make_mocked_request(
            method, path, headers={"Host": host, "Deadline-Ms": "900"}
        )
        return await self.ingress.handle(req)

    async def test_no_configuration(self):
        """Before the first configuration, requests get status 503."""
        self.assertEqual((await self.request("GET", "/p/")).status, 503)

    async def test_unreadable_configuration(self):
        """A configuration that is nested deeply ended every node.

        The previous one stays in force, and the records after it count.
        """
        self.configure(7)
        deep = b'{"version":8,"routes":[],"later":' + b"[" * 100_000
        self.view_updater.apply(
            [
                StoredRecord(1, "config", deep + b"]" * 100_000 + b"}"),
                StoredRecord(2, "evacuate/z", b"{}"),
            ]
        )
        self.assertEqual(self.view.config.version, 7)
        self.assertEqual(self.view.zones_out, {"z"})

    async def send(self, head: bytes, body: bytes = b"") -> bytes:
        """Returns the response to a request that is sent over a connection."""
        runner = web.ServerRunner(web.Server(self.ingress.handle))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head + b"\r\nConnection: close\r\n\r\n" + body)
        resp = await reader.read()
        writer.close()
        return resp

    async def test_configuration_that_cannot_be_stored(self):
        """Each job of a queue with such a number got status 500."""
        self.configure(7)
        for field in ("priority", "maxAttempts", "stretch"):
            text = CONFIG.replace(b'"kind":"k"', b'"%b":1e300' % field.encode())
            for number in (b"1e300", b"%d" % 2**64, b"-%d" % 2**64):
                value = (text % 8).replace(b"1e300", number)
                self.view_updater.apply([StoredRecord(1, "config", value)])
        self.assertEqual(self.view.config.version, 7)

    async def test_host_that_is_no_text(self):
        """A Host header with other bytes than text got status 500."""
        self.configure()
        resp = await self.send(b"GET /p/ HTTP/1.1\r\nHost: a\xff")
        self.assertIn(b"404 Not Found", resp)
        self.assertIn(b"no queue for a?/p/", resp)

    async def test_body_of_a_wrong_encoding(self):
        """A body that is not of its Content-Encoding got status 500."""
        self.configure()
        head = b"POST /p/%b HTTP/1.1\r\nHost: a.example\r\n" % ID.encode()
        head += b"Content-Encoding: gzip\r\nContent-Length: 5"
        resp = await self.send(head, b"abcde")
        self.assertIn(b"400 Bad Request", resp)
        self.assertIn(b'{"kind":"bad_request","detail":"body', resp)

    async def test_deadline_that_is_no_time(self):
        """A caller with a deadline of "inf" waited without a time-out."""
        self.configure()
        body = b'{"spec":"x","steps":[{}]}'
        for deadline in (b"inf", b"nan", b"1e999", b"x"):
            head = b"POST /p/%b HTTP/1.1\r\nHost: a.example\r\n" % ID.encode()
            head += b"Deadline-Ms: %b\r\nContent-Length: 25" % deadline
            await self.send(head, body)
        waits = [deadline_ms for *_, deadline_ms in self.job_service.calls]
        self.assertEqual(waits, [DEFAULT_DEADLINE_MS] * 4)

    async def test_statuses(self):
        """Each outcome maps to its status code."""
        self.configure()
        self.assertEqual((await self.request("GET", "/p/" + ID)).status, 410)
        self.assertEqual((await self.request("GET", "/x/" + ID)).status, 404)
        self.assertEqual((await self.request("GET", "/p/", "b")).status, 404)
        self.assertEqual((await self.request("GET", "/p/nohex")).status, 400)
        self.assertEqual((await self.request("PUT", "/p/" + ID)).status, 405)
        pending = await self.request("GET", "/p/")
        self.assertEqual(pending.body, b'{"pending":12}')

    async def test_refused(self):
        """A response to a refused request holds a retry time."""
        self.configure()
        resp = await self.request("DELETE", "/p/" + ID)
        self.assertEqual(resp.status, 503)
        self.assertEqual(resp.headers["Retry-After"], "1")

    async def test_longest_prefix(self):
        """The queue with the longest matching path prefix is used."""
        self.configure()
        queue = self.view.queues.find("A.example", "/p/q/" + ID)
        self.assertEqual(queue.params.name, "r2")

    async def test_queue_of_a_query(self):
        """A query or cancellation concerns a job of the selected queue."""
        self.configure()
        await self.request("GET", "/p/" + ID)
        await self.request("DELETE", "/p/q/" + ID)
        self.assertEqual(
            self.job_service.calls,
            [("state", ID, "r", 900), ("cancel", ID, "r2", 900)],
        )

    def test_stale_version(self):
        """Older, undecodable and removed versions are ignored."""
        self.configure(7)
        self.configure(6)
        self.view_updater.apply([StoredRecord(1, "config", b"\xff")])
        self.view_updater.apply([StoredRecord(2, "config", None)])
        self.assertEqual(self.view.config.version, 7)

    def test_zones(self):
        """Records and a complete list of keys set the zones out of service."""
        self.view_updater.apply([StoredRecord(0, "evacuate/z1", b"{}")])
        self.assertEqual(self.view.zones_out, {"z1"})
        self.view_updater.apply([StoredRecord(1, "evacuate/z1", None)])
        self.assertEqual(self.view.zones_out, frozenset())
        self.view_updater.reset({"config", "evacuate/z2"})
        self.assertEqual(self.view.zones_out, {"z2"})


class SettingsTest(unittest.TestCase):
    """The settings file."""

    def load(self, text: str, **environment: str):
        """Loads a settings file with this text."""
        import tempfile

        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return load_settings(file.name, **environment)

    GOOD = """
        nodeName = "n"
        zone = "z"
        newField = 1
        [listenAddrs]
        frontend = "127.0.0.1:1"
        readiness = "127.0.0.1:2"
        controlPlane = "127.0.0.1:3"
        [bounds]
        maxHoldMs = 4000
        status_s = 90
        graceS = 5
        [platform]
        address = "127.0.0.1:4"
    """

    def test_good(self):
        """Platform settings are converted to node settings and their units."""
        cfg = self.load(self.GOOD)
        self.assertEqual(cfg.longest_lease_ms, 4000)
        self.assertEqual(cfg.state_kept_ms, 90_000)
        self.assertEqual(cfg.leave_ms, 5000)

    def test_limits_of_the_store(self):
        """Sizes are read from the file; the documented ones are the default."""
        cfg = self.load(self.GOOD)
        self.assertEqual(cfg.max_record_bytes, 262_144)
        self.assertEqual(cfg.max_append_bytes, 2_097_152)
        limits = "\nmaxRecordBytes = 7\nmaxCallBytes = 8"
        cfg = self.load(self.GOOD + limits)
        self.assertEqual((cfg.max_record_bytes, cfg.max_append_bytes), (7, 8))

    def test_bad(self):
        """The error names the invalid setting."""
        bad = {
            self.GOOD.replace("127.0.0.1:2", "here"): "readiness",
            self.GOOD.replace("maxHoldMs = 4000", "maxHoldMs = 0"): "longest",
            self.GOOD.replace('zone = "z"', ""): "zone",
            self.GOOD + "\n[": "LIMPETYARD_SETTINGS",
        }
        for text, expected in bad.items():
            with self.assertRaises(SettingError) as caught:
                self.load(text)
            self.assertIn(expected, str(caught.exception))

    def test_processor_cores(self):
        """The capacity is quota times speed, and unknown without a quota."""
        cases = {
            "": 0.0,
            "[limits]": 0.0,
            "[limits]\ncpuCores = 2.0": 0.0,
            "[limits]\ncpuQuota = 0.5": 0.5,
            "[limits]\ncpuQuota = 0.5\ncpuCores = 4.3": 2.15,
        }
        for text, cores in cases.items():
            with self.subTest(text):
                cfg = self.load(f"{self.GOOD}\n{text}")
                self.assertAlmostEqual(cfg.processor_cores, cores)

    def test_bad_processor_cores(self):
        """A capacity that is negative or not finite is rejected by name."""
        for key, value in (
            ("cpuQuota", "-1"),
            ("cpuCores", "-1"),
            ("cpuQuota", "nan"),
            ("cpuQuota", "inf"),
        ):
            text = f"{self.GOOD}\n[limits]\n{key} = {value}"
            with self.subTest(key + value):
                with self.assertRaises(SettingError) as caught:
                    self.load(text)
                self.assertRegex(
                    str(caught.exception), f"{key}|processor_cores"
                )

    def test_best_effort(self):
        """Pacer, limit of strain and reserve have defaults and are set."""
        cfg = self.load(self.GOOD)
        self.assertEqual(
            (cfg.pacer, cfg.strain_limit_ms, cfg.reserved_share),
            ("measured", 4000, 0.05),
        )
        text = self.GOOD.replace("graceS = 5", "graceS = 5\nharmMs = 4500")
        cfg = self.load(text, pacer="predicted", reserved="0")
        self.assertEqual(
            (cfg.pacer, cfg.strain_limit_ms, cfg.reserved_share),
            ("predicted", 4500, 0),
        )

    def test_bad_best_effort(self):
        """The error names the setting and what it must be."""
        cases = (
            ({"pacer": "often"}, "pacer.*measured, none, predicted"),
            ({"reserved": "much"}, "LIMPETYARD_RESERVED_SHARE.*a number"),
            ({"reserved": "0.7"}, "reserved_share.*0 to 0.5"),
            ({"reserved": "nan"}, "reserved_share.*0 to 0.5"),
        )
        for environment, expected in cases:
            with self.subTest(environment):
                with self.assertRaises(SettingError) as caught:
                    self.load(self.GOOD, **environment)
                self.assertRegex(str(caught.exception), expected)
        text = self.GOOD.replace("graceS = 5", "graceS = 5\nharmMs = 0")
        with self.assertRaises(SettingError):
            self.load(text)

    def test_unreadable(self):
        """Nesting and numbers that no reader takes raise a setting error."""
        digits = "9" * 5000
        for line in ("later = " + "[" * 20_000, "later = " + digits):
            with self.subTest(line[:12]), self.assertRaises(SettingError):
                self.load(line + "\n" + self.GOOD)
        with self.assertRaises(SettingError):
            self.load(self.GOOD, metrics_port=digits)

    def test_numbers_that_are_no_time(self):
        """A time that is NaN or infinite was taken, as was any large one."""
        for value in ("nan", "inf", "1e305", "9" * 30):
            for old, new in (
                ("status_s = 90", "status_s = "),
                ("graceS = 5", "remoteFactor = "),
                ("graceS = 5", "gangTimeoutMs = "),
                ("graceS = 5", "harmMs = "),
                ("[platform]", "[platform]\nminTtlMs = "),
            ):
                text = self.GOOD.replace(old, new + value)
                with self.subTest(new + value):
                    self.assertRaises(SettingError, self.load, text)

    def test_name_of_the_node(self):
        """A name of several lines would be in each line of the log."""
        text = self.GOOD.replace('"n"', '"a\\nb"')
        self.assertRaises(SettingError, self.load, text)

    def test_missing(self):
        """A missing file raises an error."""
        with self.assertRaises(SettingError):
            load_settings("/nowhere/at/all.toml")


if __name__ == "__main__":
    unittest.main()
