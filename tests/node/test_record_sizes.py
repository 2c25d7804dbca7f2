"""Records and appends beyond the limits of the store."""

import asyncio
import random
from unittest import mock

from limpetyard._error_kinds import ERROR_RESPONSES, ErrorKind
from limpetyard.jobs import CHUNK_PREFIX, JobSpec, Resources, StepSpec
from limpetyard.node import _predecessor
from limpetyard.node._store_layout import JOBS_TOPIC, PLACES_KEY
from limpetyard.store import (
    RefusalKind,
    StoreLimits,
    StoreRefusedError,
    Writer,
)
from standins.platform import SimulatedSite
from standins.platform._history import RunStarted
from standins.platform._site import DEADLINE_MS, QUEUE
from tests.node.test_whole_site import SMALL, SiteTestCase, job

JOBS = range(30)

# Holds a few records of such jobs.
CALL_BYTES = 1200

# Share of the appends that are refused while the store is in trouble.
REFUSED_SHARE = 0.8

# Holds the record of such a job, but not that of a large one.
RECORD_BYTES = 400
LARGE = 100
LARGE_TASKS = 40

# Holds chunks of a job of many tasks, but not its progress as a whole.
CHUNK_BYTES = 4200
MANY_TASKS = 300

# Time after which an ended job has been forgotten.
FORGOTTEN_S = 130


class CallLimitTest(SiteTestCase):
    """What is to be stored at once exceeds one append."""

    def test_takeover_with_many_jobs(self):
        """Every append of the owner was refused, for ever: LOST."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, JOBS, run_ms=2000)
            # As after an owner of a build that stores no places: all jobs
            # change at the takeover.
            site.store.write(JOBS_TOPIC, PLACES_KEY, None)
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            await site.kill_node(site.owner())
            await self.complete(site, JOBS)
            self.assertIn(
                PLACES_KEY, site.store.partition(JOBS_TOPIC, 0).latest
            )

        self.run_scenario(scenario, workers=20)

    def test_takeover_while_most_appends_are_refused(self):
        """A batch of several appends began anew with each refusal."""
        append = Writer.append
        rng = random.Random(1)

        async def refuse_often(writer: Writer, records: list) -> None:
            if rng.random() < REFUSED_SHARE:
                raise StoreRefusedError(RefusalKind.BUSY, "")
            await append(writer, records)

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, JOBS, run_ms=2000)
            site.store.write(JOBS_TOPIC, PLACES_KEY, None)
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            with mock.patch.object(Writer, "append", refuse_often):
                await site.kill_node(site.owner())
                await self.complete(site, JOBS)

        self.run_scenario(scenario, workers=20)

    def test_many_callers(self):
        """All jobs that were handed in at one time were refused."""

        async def scenario(site: SimulatedSite) -> None:
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            service = site.owner().job_service
            specs = [job(number) for number in JOBS]
            site.history.submitted.update((spec.id, spec) for spec in specs)
            await asyncio.gather(
                *(service.submit(spec, DEADLINE_MS) for spec in specs)
            )
            await self.complete(site, JOBS)

        self.run_scenario(scenario, workers=20)

    def test_job_that_can_never_be_stored(self):
        """It was refused as if it might be later, and others with it."""

        async def scenario(site: SimulatedSite) -> None:
            site.store.limits = StoreLimits(record_bytes=CALL_BYTES)
            service = site.owner().job_service
            step = StepSpec(1, SMALL, label="x" * CALL_BYTES)
            large = JobSpec(f"{LARGE:016x}", QUEUE, "payload", (step,))
            site.history.submitted[job(0).id] = job(0)
            refusal, accepted = await asyncio.gather(
                *(service.submit(s, DEADLINE_MS) for s in (large, job(0))),
                return_exceptions=True,
            )
            self.assertIsNone(accepted)
            self.assertIs(refusal.kind, ErrorKind.BAD_REQUEST)
            self.assertIn(f"limit is {CALL_BYTES} bytes", refusal.detail)
            self.assertEqual(ERROR_RESPONSES[refusal.kind].status, 400)
            await self.complete(site, range(1))

        self.run_scenario(scenario)

    def test_many_ended_jobs(self):
        """Records of ended jobs were never deleted."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, JOBS, run_ms=100)
            await self.complete(site, JOBS)
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            await site.kill_node(site.owner())
            await asyncio.sleep(FORGOTTEN_S)
            keys = site.store.partition(JOBS_TOPIC, 0).latest
            self.assertEqual([k for k in keys if k[:2] in ("s/", "p/")], [])

        self.run_scenario(scenario)


class RecordLimitTest(SiteTestCase):
    """The progress of one job exceeds one record."""

    async def submit_all(self, site: SimulatedSite, last_ms: int) -> None:
        """Submits a job whose progress is too large, and others.

        Args:
            site: The site.
            last_ms: Run time of the tasks of its last step.
        """
        site.store.limits = StoreLimits(record_bytes=RECORD_BYTES)
        first = StepSpec(LARGE_TASKS, SMALL, 500)
        last = StepSpec(LARGE_TASKS, SMALL, last_ms, after=(0,))
        spec = JobSpec(f"{LARGE:016x}", QUEUE, "payload", (first, last))
        self.assertTrue(await site.submit(spec))
        await self.submit(site, JOBS)

    def test_others_go_on(self):
        """Every append with that job was refused, for all jobs: LOST."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit_all(site, last_ms=600_000)
            await self.complete(site, JOBS)
            # A final state is small enough to be stored.
            large_id = f"{LARGE:016x}"
            self.assertTrue(await site.cancel(large_id))
            state = await site.wait_for(large_id, ("cancelled",), 3000)
            self.assertEqual(state, "cancelled")

        self.run_scenario(scenario, workers=20)

    def test_places_of_a_job_that_is_not_stored(self):
        """A later owner would rely on the places that are stored for it.

        The owners before are taken for such of a release that stores none.
        """

        async def scenario(site: SimulatedSite) -> None:
            await self.submit_all(site, last_ms=600_000)
            site.store.limits = StoreLimits()
            await asyncio.sleep(0.8)
            site.store.limits = StoreLimits(record_bytes=RECORD_BYTES)
            site.store.write(JOBS_TOPIC, PLACES_KEY, None)
            await site.kill_node(site.owner())
            await self.complete(site, JOBS)
            keys = site.store.partition(JOBS_TOPIC, 0).latest
            self.assertNotIn(PLACES_KEY, list(keys))
            large_id = f"{LARGE:016x}"
            self.assertTrue(await site.cancel(large_id))
            await site.wait_for(large_id, ("cancelled",), 3000)
            await asyncio.sleep(1)
            self.assertIn(PLACES_KEY, list(keys))

        with mock.patch.object(
            _predecessor, "member_stores_places", return_value=False
        ):
            self.run_scenario(scenario, workers=20)

    def test_takeover(self):
        """What was not stored has not been acknowledged to the workers."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit_all(site, last_ms=500)
            await asyncio.sleep(0.8)
            await site.kill_node(site.owner())
            await self.complete(site, [*JOBS, LARGE])

        self.run_scenario(scenario, workers=20)


class ChunksTest(SiteTestCase):
    """The progress of a job is stored in chunks."""

    def keys(self, site: SimulatedSite, prefix: str) -> list[str]:
        """Returns the keys with a prefix in the store."""
        latest = site.store.partition(JOBS_TOPIC, 0).latest
        return [key for key in latest if key.startswith(prefix)]

    async def submit_large(self, site: SimulatedSite, **step) -> JobSpec:
        """Submits a job of two steps of many tasks."""
        site.store.limits = StoreLimits(record_bytes=CHUNK_BYTES)
        need = Resources(100, 100, 0)
        first = StepSpec(MANY_TASKS, need, 500, **step)
        last = StepSpec(MANY_TASKS, need, 1500, after=(0,), **step)
        spec = JobSpec(f"{LARGE:016x}", QUEUE, "payload", (first, last))
        self.assertTrue(await site.submit(spec))
        return spec

    def test_long_running_job_of_many_tasks(self):
        """Tasks were not started: their places could not be stored before."""

        async def scenario(site: SimulatedSite) -> None:
            spec = await self.submit_large(site, long_running=True)
            await asyncio.sleep(3)
            self.assertEqual(site.unplaced_long_running(), [])
            self.assertEqual(len(self.keys(site, CHUNK_PREFIX)), 3)
            await site.kill_node(site.owner())
            await asyncio.sleep(3)
            self.assertEqual(site.unplaced_long_running(), [])
            self.assertTrue(await site.cancel(spec.id))
            state = await site.wait_for(spec.id, ("cancelled",), 3000)
            self.assertEqual(state, "cancelled")
            self.assertEqual(self.keys(site, CHUNK_PREFIX), [])

        self.run_scenario(scenario, workers=20)

    def test_takeover(self):
        """A later owner knows what is done; an ended job has no chunks."""

        async def scenario(site: SimulatedSite) -> None:
            spec = await self.submit_large(site)
            await asyncio.sleep(1.5)
            self.assertNotEqual(self.keys(site, CHUNK_PREFIX), [])
            await site.kill_node(site.owner())
            state = await site.wait_for(spec.id, ("completed",), 10_000)
            self.assertEqual(state, "completed")
            self.assertEqual(self.keys(site, CHUNK_PREFIX), [])

        site = self.run_scenario(scenario, workers=20)
        starts = [entry.task for entry in site.history.of(RunStarted)]
        self.assertEqual(len(starts), 2 * MANY_TASKS)

    def test_chunks_of_a_job_that_an_older_build_forgot(self):
        """Builds that know no chunks leave those of a job that they delete."""

        async def scenario(site: SimulatedSite) -> None:
            key = CHUNK_PREFIX + "f" * 16 + "/0.0.0"
            site.store.write(JOBS_TOPIC, key, b"x")
            await site.kill_node(site.owner())
            await asyncio.sleep(8)
            self.assertEqual(self.keys(site, CHUNK_PREFIX), [])

        self.run_scenario(scenario)
