"""Submissions that repeat the id of a job after its route has changed."""

import asyncio
from unittest import mock

import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.jobs import JobSpec, QueueParams, StepSpec, decode_spec
from limpetyard.node._store_layout import JOBS_TOPIC
from limpetyard.store import RefusalKind, StoreRefusedError, Writer
from standins.platform import SimulatedSite
from standins.platform._history import RunStarted
from standins.platform._site import DEADLINE_MS, QUEUE
from standins.platform._worker import WorkerModel
from tests.node.test_unstarted_doubts import cut_off, until
from tests.node.test_whole_site import SMALL, SiteTestCase

ID = f"{1:016x}"
OTHER_SERVICE = "other-service"
OTHER_ROUTE = msgspec.structs.replace(QUEUE, service=OTHER_SERVICE)

# Run time of a task that outlasts the takeover, but not its worker's lease.
RUN_MS = 7000

# Time in which a stored submission is read, and what follows from it stored.
READ_S = 0.5

# Time in which a new owner starts whatever it takes for startable.
TAKEOVER_S = 2.5

# A late start order is carried out after the takeover.
LATE_MS = 3000.0


def job(queue: QueueParams = QUEUE, run_ms: int = RUN_MS) -> JobSpec:
    """Returns the job, as accepted through a route."""
    return JobSpec(ID, queue, "payload", (StepSpec(1, SMALL, run_ms),))


def add_worker(site: SimulatedSite, service: str) -> WorkerModel:
    """Adds a worker of a service."""
    model = site.add_worker(len(site.workers))
    entry = msgspec.structs.replace(model.entry, service=service)
    model.entry = entry
    return model


class RepeatedSubmissionTest(SiteTestCase):
    """Guards against TWICE: the next owner overlooked the worker of a run.

    It looked only at workers of the service in the latest submission.
    """

    async def start(self, site: SimulatedSite) -> WorkerModel:
        """Has the job run on a worker of its service, beside idle others."""
        for _ in range(2):
            add_worker(site, OTHER_SERVICE)
        await asyncio.sleep(2)
        self.assertTrue(await site.submit(job()))
        await until(lambda: site.history.of(RunStarted))
        await asyncio.sleep(READ_S)
        (start,) = site.history.of(RunStarted)
        return site.workers[start.worker]

    async def repeat(self, site: SimulatedSite, queue: QueueParams) -> None:
        """Submits the job once more, at a node that does not own the cell."""
        owner = site.owner()
        host = next(h for h in site.hosts if h is not owner)
        await host.job_service.submit(job(queue), DEADLINE_MS)

    async def take_over(self, site: SimulatedSite) -> None:
        """Kills the owner and lets the next one decide."""
        await site.kill_node(site.owner())
        await until(site.owner)
        await asyncio.sleep(TAKEOVER_S)

    async def check_taken_over(
        self, site: SimulatedSite, worker: WorkerModel
    ) -> None:
        """Loses the owner while a worker is cut off, until it is reached."""
        cut_off(site, worker.entry.id)
        await self.take_over(site)
        self.assertEqual(len(worker.running()), 1)
        self.assertEqual(len(site.history.of(RunStarted)), 1)
        for host in site.hosts:
            host.worker_links[worker.entry.id].cut = False
        await self.complete(site, range(1, 2))

    def stored_spec(self, site: SimulatedSite) -> JobSpec:
        """Returns the job as it is stored."""
        record = site.store.partition(JOBS_TOPIC, 0).latest[f"s/{ID}"]
        return decode_spec(record.value)

    def test_route_with_another_service(self):
        """The job's route has got another service."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start(site)
            await self.repeat(site, OTHER_ROUTE)
            await asyncio.sleep(READ_S)
            await self.check_taken_over(site, worker)

        self.run_scenario(scenario)

    def test_owner_killed_before_it_reads_the_repeat(self):
        """The owner cannot restore what the repeat has overwritten."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start(site)
            site.owner().store_link.cut = True
            await self.repeat(site, OTHER_ROUTE)
            self.assertEqual(self.stored_spec(site).queue, OTHER_ROUTE)
            await self.check_taken_over(site, worker)

        self.run_scenario(scenario)

    def test_run_that_another_owner_found(self):
        """The next owner knows the repeat only, and is lost in turn."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start(site)
            site.owner().store_link.cut = True
            await self.repeat(site, OTHER_ROUTE)
            await site.kill_node(site.owner())
            await until(site.owner)
            await asyncio.sleep(READ_S)
            await self.check_taken_over(site, worker)

        self.run_scenario(scenario)

    def test_stored_job_is_the_first_one(self):
        """A repeat changes nothing of the job, in this owner or in the next."""

        async def scenario(site: SimulatedSite) -> None:
            await self.start(site)
            changed = msgspec.structs.replace(
                OTHER_ROUTE, max_attempts=9, priority=3
            )
            await self.repeat(site, changed)
            await asyncio.sleep(READ_S)
            self.assertEqual(self.stored_spec(site), job())
            await self.take_over(site)
            owner = site.owner().node._owners[0]
            self.assertEqual(owner.engine.jobs[ID].spec, job())
            await self.complete(site, range(1, 2))

        self.run_scenario(scenario)

    def test_refused_while_the_first_one_is_stored_again(self):
        """It is stored with a later append."""
        append, refused = Writer.append, []

        async def refuse_first(writer, records, *args) -> None:
            if not refused and any(r.key == f"s/{ID}" for r in records):
                refused.append(records)
                raise StoreRefusedError(RefusalKind.BUSY, "busy")
            await append(writer, records, *args)

        async def scenario(site: SimulatedSite) -> None:
            await self.start(site)
            owner = site.owner()
            owner.store_link.cut = True
            await self.repeat(site, OTHER_ROUTE)
            self.assertEqual(self.stored_spec(site).queue, OTHER_ROUTE)
            with mock.patch.object(Writer, "append", refuse_first):
                owner.store_link.cut = False
                await until(lambda: refused)
                await asyncio.sleep(READ_S)
            self.assertEqual(len(refused), 1)
            self.assertEqual(self.stored_spec(site), job())
            await self.complete(site, range(1, 2))

        self.run_scenario(scenario)

    def test_worker_back_under_another_service(self):
        """A late start order reaches a worker that has changed its service."""

        async def scenario(site: SimulatedSite) -> None:
            worker, other = site.workers["w-0"], site.workers["w-1"]
            owner = site.owner()
            link = owner.worker_links["w-0"]
            link.late_rate, link.late_ms = 1.0, (LATE_MS, LATE_MS)
            other.refuse_connections()
            self.assertTrue(await site.submit(job()))
            await until(lambda: link.late_calls)
            await site.kill_node(owner)
            cut_off(site, "w-0")
            worker.crash()
            entry = msgspec.structs.replace(worker.entry, service=OTHER_SERVICE)
            worker.entry = entry
            worker.restart(0.0)
            site.add_worker(7)
            await asyncio.sleep(LATE_MS / MS_PER_SECOND + 1)
            late = [s for s in site.history.of(RunStarted) if s.late_delivery]
            self.assertEqual(len(late), 1)
            await self.complete(site, range(1, 2))

        self.run_scenario(scenario, workers=2)
