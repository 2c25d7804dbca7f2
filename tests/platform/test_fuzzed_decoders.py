"""Arbitrary bytes and JSON from outside: callers, workers, store, operators."""

import contextlib
import struct
import tempfile
import types
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from limpetyard._error_kinds import ErrorKind
from limpetyard.engine import (
    PaceOrder,
    PollRequest,
    StaleTokenError,
    StartOrder,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.errors import RequestError, SettingError
from limpetyard.jobs import (
    InvalidJobError,
    Job,
    JobSpec,
    QueueParams,
    StepSpec,
    TaskKey,
    decode_spec,
    encode_progress,
    encode_spec,
)
from limpetyard.node import SiteView
from limpetyard.node._store_layout import member_address, member_cores
from limpetyard.platform._ingress import Ingress, parse_job
from limpetyard.platform._operator_records import SiteViewUpdater
from limpetyard.platform._settings import load_settings
from limpetyard.platform._store import PlatformStore
from limpetyard.platform._worker_client import (
    PlatformAdviceClient,
    PlatformWorkerClient,
    format_task_key,
    parse_task_key,
)
from limpetyard.platform._worker_entries import parse_worker_entry
from limpetyard.store import (
    FencedError,
    KeyedRecord,
    Producer,
    SequenceError,
    StoredRecord,
    StoreOffsetTrimmedError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from tests.fuzzing import (
    EDGE_INTS,
    LoggedLines,
    Reply,
    fuzzed,
    json_bodies,
    run,
)
from tests.platform import test_ingress
from tests.platform.test_ingress import CONFIG, ID
from tests.platform.test_worker_client import entry
from tests.platform.test_worker_entries import VALID as ENTRY

QUEUE = QueueParams("q", "s")
SPEC = JobSpec(ID, QUEUE, "x", (StepSpec(2),))
TASK = TaskKey(ID, 0, 0, 1)

# Any text, also what UTF-8 cannot encode.
_texts = st.one_of(
    st.text(st.characters(exclude_categories=()), max_size=12),
    st.text(st.characters(categories=["Cs", "Nd", "Cc", "Zl"]), max_size=4),
)
_statuses = st.sampled_from(
    (200,) * 30 + (409, 409, 410, 421, 429, 503, 507, *range(100, 1000, 90))
)

# Three words of which most are numbers to `int`.
_NUMBER_WORDS = r"([-+ _0]?\d{1,2}[_ ]?\d?\.){2}[-+ ]?\d{1,30}"

HOLD = {
    "clockMs": 1.5,
    "born": 7,
    "running": [
        [f"{ID}.0.0.0", 1, "", 100, 2.5],
        [f"{ID}.0.0.1", 1, "c", 40],
    ],
    "endedRuns": [
        [1, f"{ID}.0.0.0", 1, "done", ""],
        [2, "a.0.0.0", 1, "lapsed", None],
    ],
}
ADVICE = {"good": [["w-1", "t1"], ["w-2", "t2", 5]], "validityMs": 900}
JOB = {
    "spec": "x",
    "steps": [
        {
            "count": 2,
            "cpu": 500,
            "memMb": 256,
            "gpus": 1,
            "estimatedMs": 900,
            "affinity": "r1",
            "requires": "a",
            "image": "i",
            "antiAffinity": 1,
            "targetMs": 5,
            "maxUnavailable": 1,
        },
        {"count": 3, "after": [0], "gang": True},
    ],
    "repeatCount": 3,
    "initialDelayMs": 5000,
    "intervalMs": 60000,
}
LATEST = {
    "items": [
        {"key": "a", "value": "MQ==", "offset": 4},
        {"key": "b", "value": "", "offset": 7},
    ],
    "hasMore": False,
    "endOffset": 9,
}
OWNERS = [["t", 0, "n|a|1", 5], ["t", 1, "", 0]]


class FuzzTestCase(unittest.TestCase):
    """A test whose events must be loggable."""

    def setUp(self):
        """Turns logging off, but formats each event."""
        logger.remove()
        self.enterContext(LoggedLines())


class WorkerEntryFuzzTest(FuzzTestCase):
    """Directory entries of workers."""

    @fuzzed
    @given(_texts, json_bodies(ENTRY))
    def test_entries(self, worker_id, value):
        """An entry names no worker, or one that can be stored and called."""
        for key in ("i-1", worker_id):
            decoded = parse_worker_entry(StoredRecord(0, key, value))
            if decoded is None:
                continue
            self.assertEqual(decoded.id, key)
            stored = msgspec.msgpack.encode(decoded)
            again = msgspec.msgpack.decode(stored, type=type(decoded))
            self.assertEqual(again, decoded)
            self.assertLess(len(stored), 1 << 17)


class WorkerReplyFuzzTest(FuzzTestCase):
    """Replies of workers."""

    def call(self, status, body, method, *args):
        """Returns the result of a call; None if it failed as documented."""
        workers = PlatformWorkerClient()
        workers._http_client = Reply(status, body)
        with contextlib.suppress(
            WorkerOutcomeUnknownError, WrongWorkerError, StaleTokenError
        ):
            return run(getattr(workers, method)(entry("127.0.0.1:1"), *args))
        return None

    @fuzzed
    @given(_statuses, json_bodies(HOLD))
    def test_polls(self, status, body):
        """What a reply reports can be ordered to stop, and be stored."""
        reply = self.call(status, body, "poll", PollRequest(1, 0, None, 0), 500)
        if reply is None:
            return
        self.assertEqual(status, 200)
        msgspec.msgpack.encode((reply.born, reply.clock_ms))
        reports = [*reply.runs, *reply.ends]
        if _reference(body):
            tasks = [format_task_key(report.task) for report in reports]
            self.assertEqual(tasks, _row_names(body))
        for report in reports:
            self.call(200, b"", "stop", report.task, report.run, 1)
            job = Job(SPEC, 0.0)
            task = job.task(0, 0, 0)
            task.run, task.checkpoint = report.run + 1, report.checkpoint
            task.ended_runs.add(report.run)
            encode_progress(job, 0.0)
        for ended in reply.ends:
            self.call(200, b"", "poll", PollRequest(1, ended.number, 0, 0), 500)

    @fuzzed
    @given(st.from_regex(_NUMBER_WORDS, fullmatch=True))
    def test_task_names(self, words):
        """A name is that of one task only, or of none."""
        name = f"{ID}.{words}"
        with contextlib.suppress(ValueError):
            self.assertEqual(format_task_key(parse_task_key(name)), name)

    @fuzzed
    @given(_statuses, json_bodies({"reason": "room"}))
    def test_orders(self, status, body):
        """An order has a result, or its outcome is unknown."""
        start = StartOrder(TASK, 1, "payload", 60_000, 1)
        self.call(status, body, "start", start)
        self.call(status, body, "stop", TASK, 1, 1)
        self.call(status, body, "pace", PaceOrder(TASK, 1, 40, 1))

    @fuzzed
    @given(_statuses, json_bodies(ADVICE))
    def test_advice(self, status, body):
        """Tickets are texts for workers, and can be part of a start order."""
        advice = PlatformAdviceClient("127.0.0.1:1")
        advice._http_client = Reply(status, body)
        try:
            tickets = run(advice.advise(ID, 0, 0, ["w-1", "w-2"], 500))
        except WorkerOutcomeUnknownError:
            return
        permitted = {ticket.worker: ticket for ticket in tickets}
        for worker, ticket in permitted.items():
            self.assertIsInstance(worker, str)
            self.assertIsInstance(ticket.ticket, str)
            self.assertLess(abs(ticket.valid_ms), 2**54)
            order = StartOrder(TASK, 1, "", 1, 1, "", ticket.ticket)
            self.assertIsNotNone(self.call(200, b"", "start", order))
        for row in _reference(body).get("good", []):
            if row[:2] in (["w-1", "t1"], ["w-2", "t2"]):
                self.assertIn(row[0], permitted)


def _reference(body: bytes):
    """Returns a reply as dicts and lists; {} if a part that is not read fails.

    Keys that are no text are not decoded if their values are skipped.
    """
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError:
        return {}


def _row_names(body: bytes) -> list[str]:
    data = _reference(body)
    rows = [row[0] for row in data.get("running", [])]
    return rows + [row[1] for row in data.get("endedRuns", [])]


class StoreReplyFuzzTest(FuzzTestCase):
    """Replies of the store."""

    def call(self, status, body, method, *args):
        """Returns the result of a call; None if it failed as documented."""
        store = PlatformStore("127.0.0.1:1")
        store._http_client = Reply(status, body)
        try:
            return run(getattr(store, method)(*args))
        except SequenceError as exc:
            msgspec.msgpack.encode(exc.expected)
        except (
            FencedError,
            StoreOffsetTrimmedError,
            StoreOutcomeUnknownError,
            StoreRefusedError,
        ):
            pass
        return None

    @fuzzed
    @given(
        _statuses,
        json_bodies({"offset": 5, "reason": "seq", "expectedSeq": 4}),
    )
    def test_appends(self, status, body):
        """An offset or a sequence number can be stored, as an epoch is."""
        records = [KeyedRecord("a", b"1")]
        for producer in (None, Producer("p", 1, 2)):
            args = ("jobs", 0, records, producer)
            offset = self.call(status, body, "append", *args)
            msgspec.msgpack.encode(offset and offset + 1)
        self.call(status, body, "leave", "g", "m")

    @fuzzed
    @given(
        _statuses,
        st.sampled_from((0, 1, 7, 2**53, 2**63, 2**64 - 2, 2**64 - 1)),
        st.lists(st.tuples(st.binary(max_size=6), st.binary(max_size=6))),
        st.binary(max_size=8),
    )
    def test_reads(self, status, first, rows, rest):
        """Each readable record is decoded, whatever comes between."""
        body = struct.pack(">QQ", 9, first)
        for key, value in rows:
            for content in (
                bytes([len(key)]) + key + value,
                bytes([200]) + value,
                b"\x09key of 9b" + value,
            ):
                body += struct.pack(">I", len(content)) + content
        page = self.call(status, body + rest, "read", "jobs", 0, 3, 0)
        if page is None:
            return
        msgspec.msgpack.encode(page)
        values = [r.value or b"" for r in page.records if r.key == "key of 9b"]
        self.assertEqual(values, [value for _, value in rows])
        offsets = [record.offset for record in page.records]
        self.assertEqual(offsets, sorted(set(offsets)))
        self.assertGreaterEqual(
            page.next_offset, max(3, first) + len(offsets) + page.unreadable
        )

    @fuzzed
    @given(st.binary(max_size=60))
    def test_reads_of_any_bytes(self, body):
        """Any bytes are a page, or the outcome is unknown."""
        page = self.call(200, body, "read", "jobs", 0, 3, 0)
        if page is not None:
            msgspec.msgpack.encode(page)

    @fuzzed
    @given(_statuses, json_bodies(LATEST))
    def test_latest(self, status, body):
        """Records of a page are those of the reply, or there is none."""
        page = self.call(status, body, "read_latest", "jobs", 0, "\u00e9")
        if page is None:
            return
        msgspec.msgpack.encode(page)
        items = _reference(body).get("items")
        if items is None:
            return
        self.assertEqual(
            [record.key for record in page.records], [i["key"] for i in items]
        )
        for record, item in zip(page.records, items, strict=True):
            if item["value"] == "MQ==":
                self.assertEqual(record.value, b"1")

    @fuzzed
    @given(
        _statuses,
        json_bodies({"generation": 3, "parts": [["t", 0, 5], ["t", 1, 0]]}),
    )
    def test_joins(self, status, body):
        """An assignment can be part of the next join."""
        args = ("g", "m", "jobs", 1000)
        assignment = self.call(status, body, "join", *args, 0)
        if assignment is None:
            return
        msgspec.msgpack.encode(assignment)
        reply = b'{"generation":1,"parts":[]}'
        again = self.call(200, reply, "join", *args, assignment.generation)
        self.assertIsNotNone(again)
        self.assertTrue(all(cell >= 0 for cell in assignment.partitions))

    @fuzzed
    @given(_statuses, json_bodies(OWNERS), st.booleans())
    def test_owners(self, status, body, wrapped):
        """Owners are names of members by partition; odd rows hide no other."""
        if wrapped:
            body = b'{"x":1,"rows":%b}' % body
        owners = self.call(status, body, "partition_owners", "g")
        if owners is None:
            return
        for cell, member in owners.items():
            self.assertIs(type(cell), int)
            self.assertGreaterEqual(cell, 0)
            self.assertIsInstance(member, str)
            member_address(member)
            member_cores(member)
        data = _reference(body)
        if isinstance(data, list):
            named = [
                row[1]
                for row in data
                if isinstance(row, list)
                and row[1:3] in (["", ""], [0, "n|a|1"], [1, ""])
                and type(row[1]) is int
                and isinstance(row[0], str)
            ]
            self.assertLessEqual(set(named), set(owners))


class OperatorRecordFuzzTest(FuzzTestCase):
    """Records of the operators."""

    @fuzzed
    @given(json_bodies(msgspec.json.decode(CONFIG % 9)), _texts)
    def test_configurations(self, value, zone):
        """A configuration is in force if jobs of its queues can be stored.

        The records beside it count either way.
        """
        view = SiteView()
        SiteViewUpdater(view).apply(
            [
                StoredRecord(0, "config", CONFIG % -5),
                StoredRecord(1, "evacuate/z", b""),
                StoredRecord(2, "config", value),
                StoredRecord(3, "evacuate/" + zone, value),
                StoredRecord(4, zone, value),
            ]
        )
        self.assertEqual(view.zones_out, {"z", zone})
        self.assertIsNotNone(view.config)
        for queue in view.config.queues:
            spec = parse_job(ID, queue.params, b'{"spec":"","steps":[{}]}', 5.0)
            self.assertEqual(decode_spec(encode_spec(spec)), spec)
        if view.config.version == 9 and not view.config.queues:
            self.assertEqual(_reference(value).get("routes", []), [])


class IngressFuzzTest(FuzzTestCase):
    """Requests of callers."""

    @fuzzed
    @given(json_bodies(JOB))
    def test_jobs(self, body):
        """A job is refused, or can be stored and read, and has due times."""
        try:
            spec = parse_job(ID, QUEUE, body, 5.0)
        except InvalidJobError as exc:
            self.assertTrue(str(exc).encode())
            return
        self.assertEqual(decode_spec(encode_spec(spec)), spec)
        due_ms = Job(spec, 0.0).due_at_ms(spec.occurrences - 1)
        self.assertLess(abs(due_ms), float("inf"))

    @fuzzed
    @given(
        st.sampled_from(("GET", "POST", "DELETE", "PUT")),
        st.sampled_from(("/p/", "/x/")),
        _texts,
        _texts,
        _texts,
    )
    def test_requests(self, method, prefix, name, host, deadline):
        """Each request gets a response of one of the documented statuses."""
        deadlines = []

        async def read() -> bytes:
            return b""

        class _Jobs:
            async def pending(self, queue):
                return 1

            async def state(self, job_id, queue, deadline_ms):
                deadlines.append(deadline_ms)
                raise RequestError(ErrorKind.JOB_GONE, job_id)

            cancel = state

        view = SiteView()
        SiteViewUpdater(view).apply([StoredRecord(0, "config", CONFIG % 1)])
        ingress = Ingress(view, _Jobs(), lambda: 0.0)
        for path in (prefix + name, "/p/" + ID):
            for sent_host in (host, "a.example"):
                req = types.SimpleNamespace(
                    method=method,
                    path=path,
                    headers={"Host": sent_host, "Deadline-Ms": deadline},
                    content_length=0,
                    read=read,
                )
                resp = run(ingress.handle(req))
                self.assertIn(resp.status, (200, 400, 404, 405, 410))
        for deadline_ms in deadlines:
            self.assertGreaterEqual(deadline_ms, 0.0)
            self.assertLess(deadline_ms, float("inf"))


_toml_values = st.one_of(
    st.sampled_from(("nan", "inf", "-inf", "-1", "0", "1e308", "''", "[]")),
    st.sampled_from(('"a\\nb"', '"127.0.0.1:' + "9" * 5000 + '"', "{a=1}")),
    st.sampled_from(("[" * 2000, "9" * 5000, "1979-05-27", '"\\u0000"')),
    st.sampled_from([str(n) for n in EDGE_INTS]),
    st.floats().map(str),
    st.text(max_size=9).map(lambda s: '"' + s + '"'),
)
_SETTINGS = test_ingress.SettingsTest.GOOD


class SettingsFuzzTest(FuzzTestCase):
    """The settings file and the environment."""

    def load(self, data: bytes, *environment: str):
        """Loads settings; None if they are refused as documented."""
        with tempfile.NamedTemporaryFile(suffix=".toml") as file:
            file.write(data)
            file.flush()
            try:
                return load_settings(file.name, *environment)
            except SettingError as exc:
                self.assertTrue(str(exc))
                return None

    def check(self, cfg) -> None:
        """Checks that settings can be used as times and be sent."""
        if cfg is None:
            return
        msgspec.msgpack.encode(cfg)
        for name in cfg.__struct_fields__:
            value = getattr(cfg, name)
            if isinstance(value, float):
                self.assertLess(abs(value), float("inf"), name)
        self.assertTrue(cfg.node.isprintable())

    @fuzzed
    @given(st.integers(0, len(_SETTINGS.splitlines()) - 1), _toml_values)
    def test_values(self, number, value):
        """Settings are refused, or are numbers and names that can be used."""
        lines = list(_SETTINGS.splitlines())
        if "=" in lines[number]:
            lines[number] = lines[number].partition("=")[0] + "=" + value
        else:
            lines[number] += "\nother = " + value
        self.check(self.load("\n".join(lines).encode(errors="replace")))

    @fuzzed
    @given(st.binary(max_size=60), st.integers(0, 400))
    def test_bytes(self, part, position):
        """Any bytes in the file."""
        good = _SETTINGS.encode()
        self.check(self.load(good[:position] + part + good[position:]))
        self.check(self.load(part))

    @fuzzed
    @given(
        st.one_of(_texts, st.integers().map(str), st.just("9" * 5000)),
        _texts,
        st.one_of(_texts, st.floats().map(str)),
    )
    def test_environment(self, port, pacer, reserved):
        """Any value of the environment variables."""
        good = _SETTINGS.encode()
        self.check(self.load(good, port))
        self.check(self.load(good, "", pacer))
        self.check(self.load(good, "", "", reserved))


if __name__ == "__main__":
    unittest.main()
