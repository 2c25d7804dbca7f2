"""Tests of applying the stored records of a cell."""

import asyncio
import math
import unittest

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.engine import (
    Engine,
    EngineParams,
    StaleLeases,
    WorkerEntry,
)
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    JobSpec,
    QueueParams,
    QueueService,
    Resources,
    StepSpec,
    cancellation_keys,
    encode_cancellation,
    encode_queue_service,
    encode_spec,
)
from limpetyard.node._records import APPLIED_PER_ITERATION, RecordApplier
from limpetyard.node._store_layout import PLACES_KEY
from limpetyard.store import StoredRecord


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Records that were read when the cell was loaded."""

    async def test_heartbeats_run_while_a_large_cell_is_loaded(self):
        """Loading many jobs leaves the event loop to others in between."""
        engine = Engine(1, EngineParams(4000, 5000))
        applier = RecordApplier(
            engine, lambda _: None, ManualClock(), lambda: 0.0, lambda: None
        )
        specs = [
            JobSpec(f"{n:016x}", QueueParams("q", "pool"), "", (StepSpec(2),))
            for n in range(100)
        ]
        applier.apply_jobs(
            [
                StoredRecord(n, ACCEPTED_PREFIX + spec.id, encode_spec(spec))
                for n, spec in enumerate(specs)
            ]
        )
        sizes = [0]

        async def heartbeats() -> None:
            while len(engine.jobs) < len(specs):
                await asyncio.sleep(0)
                sizes.append(len(engine.jobs))

        await asyncio.gather(heartbeats(), applier.apply_collected())
        growth = [b - a for a, b in zip(sizes, sizes[1:], strict=False)]
        self.assertEqual(sum(growth), len(specs))
        self.assertLessEqual(max(growth), APPLIED_PER_ITERATION)

    async def test_odd_records_change_no_other(self):
        """Records that cannot be read, and those under the key of another."""
        engine = Engine(1, EngineParams(4000, 5000))
        applier = RecordApplier(
            engine, lambda _: None, ManualClock(), lambda: 0.0, lambda: None
        )
        queue = QueueParams("q", "pool")
        job = encode_spec(JobSpec("a" * 16, queue, "", (StepSpec(1),)))
        other = encode_spec(JobSpec("a" * 16, queue, "", (StepSpec(9),)))
        worker = WorkerEntry(
            "w-1", "pool", "127.0.0.1:1", "z", "r", (), Resources(9), 7
        )
        odd_worker = msgspec.structs.replace(worker, born=2**60)
        lasting = msgspec.structs.replace(worker, remaining_ms=math.inf)
        deep = b"\x91" * 100_000 + b"\xc0"
        records = {
            "s/" + "0" * 16: other,
            "s/" + "1" * 16: deep,
            "p/" + "a" * 16: b"\x81\xa5later" + deep,
            "w/w-0": msgspec.msgpack.encode(odd_worker),
            "w/w-2": b"\x81\xa5later" + deep,
            "w/w-3": msgspec.msgpack.encode(
                msgspec.structs.replace(lasting, id="w-3")
            ),
            "s/" + "a" * 16: job,
            "w/w-1": msgspec.msgpack.encode(worker),
            PLACES_KEY: b"\x01" * 9,
        }
        applier.apply_jobs(
            [StoredRecord(n, *item) for n, item in enumerate(records.items())]
        )
        self.assertEqual(applier.places_epoch(), 0)
        recorded = await applier.apply_collected()
        self.assertEqual(recorded, {"w-1": (7, False, StaleLeases.POSSIBLE)})
        self.assertEqual(list(engine.workers), ["w-1"])
        self.assertEqual(encode_spec(engine.jobs["a" * 16].spec), job)
        applier.apply_jobs([StoredRecord(9, "s/" + "2" * 16, deep)])
        self.assertEqual(list(engine.jobs), ["a" * 16])


class QueueServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against TWICE: runs of a queue's earlier service."""

    async def load(self, *pairs: QueueService) -> RecordApplier:
        """Loads a job and workers of two services, with some pairs recorded."""
        self.engine = Engine(1, EngineParams(4000, 5000))
        applier = RecordApplier(
            self.engine,
            lambda _: None,
            ManualClock(),
            lambda: 0.0,
            lambda: None,
        )
        records = {ACCEPTED_PREFIX + ID: encode_spec(SPEC)}
        for service in ("pool", "other"):
            worker = WorkerEntry(
                service, service, "127.0.0.1:1", "z", "r", (), Resources(9), 7
            )
            records[f"w/{service}"] = msgspec.msgpack.encode(worker)
        for pair in pairs:
            records[pair.key] = encode_queue_service(pair)
        applier.apply_jobs(
            [StoredRecord(n, *item) for n, item in enumerate(records.items())]
        )
        await applier.apply_collected()
        return applier

    async def test_recorded_services(self):
        """Those that are recorded count, and the job's own is one of them."""
        own, past = QueueService("q", "pool"), QueueService("q", "past")
        applier = await self.load(own, past)
        self.assertEqual(self.engine.queue_services, {"q": {"pool", "past"}})
        self.assertEqual(applier.unrecorded_services, set())

    async def test_job_of_an_earlier_release(self):
        """A node that records no services may have overwritten any."""
        own = QueueService("q", "pool")
        applier = await self.load()
        self.assertEqual(self.engine.queue_services, {"q": {"pool", "other"}})
        self.assertEqual(applier.unrecorded_services, {own})
        record = StoredRecord(9, own.key, encode_queue_service(own))
        applier.apply_jobs([record])
        self.assertEqual(applier.unrecorded_services, set())


ID = f"{1:016x}"
SPEC = JobSpec(ID, QueueParams("q", "pool"), "", (StepSpec(2),))


class CancellationTest(unittest.TestCase):
    """Cancellations by callers of several queues and of two releases."""

    def setUp(self):
        """Creates an applier that has loaded one job."""
        self.engine = Engine(1, EngineParams(4000, 5000))
        self.applier = RecordApplier(
            self.engine,
            lambda _: None,
            ManualClock(),
            lambda: 0.0,
            lambda: None,
        )
        asyncio.run(self.applier.apply_collected())
        self.apply(ACCEPTED_PREFIX + ID, encode_spec(SPEC))

    def apply(self, key: str, value: bytes) -> None:
        """Applies one record."""
        self.applier.apply_jobs([StoredRecord(0, key, value)])

    def state(self) -> str:
        """Returns the state of the job."""
        return self.engine.jobs[ID].state

    def test_former_release(self):
        """A cancellation by a former release, which names no queue."""
        self.apply(CANCELLED_PREFIX + ID, b"1")
        self.assertEqual(self.state(), "cancelled")

    def test_each_key(self):
        """One of the two records of a cancellation is enough."""
        for key in cancellation_keys(ID, "q"):
            with self.subTest(key):
                self.setUp()
                self.apply(key, encode_cancellation("q"))
                self.assertEqual(self.state(), "cancelled")

    def test_other_queue(self):
        """A cancellation by callers of another queue is to be deleted."""
        keys = cancellation_keys(ID, "other")
        for key in keys:
            self.apply(key, encode_cancellation("other"))
        self.assertEqual(self.state(), "queued")
        self.assertEqual(self.applier.stray_keys, set(keys))


if __name__ == "__main__":
    unittest.main()
