"""Orders of events in which a cancellation, or an id, may be lost."""

import asyncio
from unittest import mock

import msgspec

from limpetyard.errors import RequestError
from limpetyard.jobs import encode_spec
from limpetyard.node import _early_cancellations
from limpetyard.node._store_layout import JOBS_TOPIC
from limpetyard.store import KeyedRecord, Writer, size_bytes
from standins.platform import SimulatedSite, _store
from standins.platform._history import RunStarted
from standins.platform._site import DEADLINE_MS, QUEUE
from tests.node.test_job_service import ID, OTHER, job, stored_keys
from tests.node.test_whole_site import SiteTestCase


async def cancel(service, queue: str = QUEUE.name) -> str:
    """Cancels the job; returns the kind of error, or "" if there is none."""
    try:
        await service.cancel(ID, queue, DEADLINE_MS)
    except RequestError as exc:
        return exc.kind.value
    return ""


class RecordOrderTest(SiteTestCase):
    """Guards against UNASKED, TWICE and LOST."""

    def started_after(self, site: SimulatedSite, at_ms: float) -> list:
        """Returns the starts after a time."""
        return [e for e in site.history.of(RunStarted) if e.at_ms > at_ms]

    def test_caller_with_a_long_deadline_has_left(self):
        """A node retries for the whole deadline, also if its caller left."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            cut, other, *_ = (h for h in site.hosts if h is not owner)
            cut.store_link.cut = True
            site.history.submitted[ID] = job()
            posted = asyncio.ensure_future(cut.job_service.submit(job(), 300e3))
            await asyncio.sleep(0.5)
            self.assertEqual(await cancel(other.job_service), "job_gone")
            site.history.cancel_requests.add(ID)
            await asyncio.sleep(130)
            cut.store_link.cut = False
            await asyncio.sleep(10)
            await asyncio.gather(posted, return_exceptions=True)
            self.assertEqual(list(site.history.of(RunStarted)), [])

        self.run_scenario(scenario)

    def test_cancelled_from_a_final_state_before_the_purge(self):
        """A DELETE that a final state answers is not stored."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            cut, other, *_ = (h for h in site.hosts if h is not owner)
            await site.submit(job(), other)
            self.assertTrue(await site.cancel(ID))
            await site.wait_for(ID, ("cancelled",), 5000)
            await asyncio.sleep(115)
            # Handed in again, stored 12 s later, cancelled at once.
            cut.store_link.late_rate = 1.0
            cut.store_link.late_ms = (12_000, 12_000)
            with self.assertRaises(RequestError):
                await cut.job_service.submit(job(), 300)
            cut.store_link.cut = True
            cut.store_link.late_rate = 0.0
            self.assertEqual(await cancel(other.job_service), "")
            at_ms = site.clock.now_ms()
            await asyncio.sleep(20)
            cut.store_link.cut = False
            await asyncio.sleep(5)
            self.assertEqual(self.started_after(site, at_ms), [])

        self.run_scenario(scenario)

    def test_other_queue_then_next_owner(self):
        """A DELETE that another queue's job answers is not stored."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            cut, other, *_ = (h for h in site.hosts if h is not owner)
            await site.submit(job(60_000), other)
            await asyncio.sleep(1)
            started = len(list(site.history.of(RunStarted)))
            self.assertEqual(started, 2)
            theirs = msgspec.structs.replace(
                job(60_000), queue=OTHER, payload="theirs"
            )
            cut.store_link.late_rate = 1.0
            cut.store_link.late_ms = (2000, 2000)
            with self.assertRaises(RequestError):
                await cut.job_service.submit(theirs, 300)
            cut.store_link.cut = True
            cut.store_link.late_rate = 0.0
            kind = await cancel(other.job_service, OTHER.name)
            self.assertEqual(kind, "job_gone")
            await asyncio.sleep(4)
            cut.store_link.cut = False
            self.assertEqual(
                await other.job_service.state(ID, QUEUE.name, DEADLINE_MS),
                "running",
            )
            await site.kill_node(owner)
            while site.owner() is None:
                await asyncio.sleep(0.1)
            await asyncio.sleep(1)
            # The job that was accepted first is still there.
            host = next(h for h in site.hosts if h.job_service is not None)
            state = await host.job_service.state(ID, QUEUE.name, DEADLINE_MS)
            self.assertEqual(state, "running")
            # The checks of the site expect that its clients see the end.
            await asyncio.sleep(50)
            await self.complete(site, range(1, 2))

        self.run_scenario(scenario)

    @mock.patch.object(_early_cancellations, "MAX_EARLY_CANCELLATIONS", 2)
    def test_kept_cancellation_is_confirmed_when_full(self):
        """A cancellation that is kept is acknowledged whatever the limit."""

        async def scenario(site: SimulatedSite) -> None:
            service = site.owner().job_service
            self.assertEqual(await cancel(service), "job_gone")
            with self.assertRaises(RequestError):
                await service.cancel("f" * 16, QUEUE.name, DEADLINE_MS)
            await asyncio.sleep(0.1)
            self.assertEqual(await cancel(service), "job_gone")

        self.run_scenario(scenario)

    def test_second_call_of_a_batch(self):
        """Callers that leave during the first call of a batch."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            cut, other, *_ = (h for h in site.hosts if h is not owner)
            size = size_bytes(KeyedRecord(f"s/{ID}", encode_spec(job())))
            limits = msgspec.structs.replace(
                site.store.limits, call_bytes=2 * size - 1
            )
            first = msgspec.structs.replace(job(), id=f"{2:016x}")
            for spec in (first, job()):
                site.history.submitted[spec.id] = spec
            with mock.patch.object(site.store, "limits", limits):
                cut.store_link.cut = True
                posted = [
                    asyncio.ensure_future(cut.job_service.submit(spec, 500))
                    for spec in (first, job())
                ]
                await asyncio.gather(*posted, return_exceptions=True)
                self.assertEqual(await cancel(other.job_service), "job_gone")
                await asyncio.sleep(130)
                cut.store_link.cut = False
                await asyncio.sleep(10)
            keys = stored_keys(site)
            self.assertNotIn(f"s/{first.id}", keys)
            self.assertNotIn(f"s/{ID}", keys)

        self.run_scenario(scenario)

    def resubmit_during_purge(self, before: bool, times: int = 1) -> None:
        """Hands a job in again while its records are being deleted."""
        append = Writer._append

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            others = [host for host in site.hosts if host is not owner]
            service = others[0].job_service
            deletion = KeyedRecord(f"s/{ID}", None)
            resubmitted = []

            async def submit() -> None:
                if times == 1:
                    await service.submit(job(), DEADLINE_MS)
                for _ in range(times - 1):
                    # Equal ones, read before anything else is stored.
                    await service.submit(job(500), DEADLINE_MS)
                    await asyncio.sleep(0.1)
                resubmitted.append(site.clock.now_ms())

            async def append_beside(writer, records, is_wanted):
                if deletion not in records:
                    await append(writer, records, is_wanted)
                    return
                if before:
                    await submit()
                await append(writer, records, is_wanted)
                if not before:
                    await submit()
                    # The reply to the deletion is late.
                    await asyncio.sleep(0.2)

            await site.submit(job(500))
            await self.complete(site, range(1, 2))
            with mock.patch.object(Writer, "_append", append_beside):
                await asyncio.sleep(130)
            self.assertEqual(len(resubmitted), 1)
            state = await site.wait_for(
                ID, ("queued", "running", "completed"), 5000
            )
            self.assertIn(state, ("queued", "running", "completed"))
            self.assertIn(f"s/{ID}", stored_keys(site))

        self.run_scenario(scenario)

    def test_accepted_twice_right_before_the_deletion(self):
        """The second one must not pass for one that is still stored."""
        self.resubmit_during_purge(before=True, times=3)

    def test_cancelled_right_before_the_deletion(self):
        """UNASKED: it is read while the job is still known."""
        append = Writer._append

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            service = next(
                host.job_service for host in site.hosts if host is not owner
            )
            cancelled = []

            async def append_after(writer, records, is_wanted):
                if KeyedRecord(f"s/{ID}", None) in records and not cancelled:
                    self.assertEqual(await cancel(service), "")
                    cancelled.append(site.clock.now_ms())
                await append(writer, records, is_wanted)

            await site.submit(job(500))
            await self.complete(site, range(1, 2))
            with mock.patch.object(Writer, "_append", append_after):
                await asyncio.sleep(130)
            self.assertEqual(len(cancelled), 1)
            await service.submit(job(), DEADLINE_MS)
            await asyncio.sleep(5)
            self.assertEqual(self.started_after(site, cancelled[0]), [])

        self.run_scenario(scenario)

    def test_accepted_right_before_the_deletion(self):
        """Its acknowledged record is deleted."""
        self.resubmit_during_purge(before=True)

    def test_accepted_before_the_reply_to_the_deletion(self):
        """Its acknowledged record is read while the job is still known."""
        self.resubmit_during_purge(before=False)

    def test_undone_while_job_is_read(self):
        """The owner is lost before an undone cancellation is stored again."""
        append = Writer._append

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            others = [host for host in site.hosts if host is not owner]
            service = others[0].job_service
            seen = []

            async def cancel_before(writer, records, is_wanted):
                hit = KeyedRecord(f"c/{ID}", None) in records
                if hit:
                    self.assertEqual(await cancel(service), "job_gone")
                await append(writer, records, is_wanted)
                if hit:
                    seen.append(site.clock.now_ms())

            self.assertEqual(await cancel(service), "job_gone")
            with mock.patch.object(Writer, "_append", cancel_before):
                while not seen:
                    await asyncio.sleep(0.1)
            await site.kill_node(owner)
            while site.owner() is None:
                await asyncio.sleep(0.1)
            site.history.cancel_requests.add(ID)
            self.assertTrue(await site.submit(job()))
            await asyncio.sleep(5)
            self.assertEqual(list(site.history.of(RunStarted)), [])

        self.run_scenario(scenario)

    def reload_beside_purge(self, cancelled: bool) -> None:
        """Loads all keys again while records of an old job are deleted.

        The page that was read before the deletion arrives after its reply.
        """

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            await site.submit(job(500))
            if cancelled:
                self.assertTrue(await site.cancel(ID))
            final = "cancelled" if cancelled else "completed"
            state = await site.wait_for(ID, (final,), 5000)
            self.assertEqual(state, final)
            at_ms = site.clock.now_ms()
            await asyncio.sleep(115)
            read_latest = site.store.read_latest

            async def read_slowly(topic, partition_id, after):
                page = await read_latest(topic, partition_id, after)
                if any(r.key == f"s/{ID}" for r in page.records):
                    # The reply takes 1.2 s; the purge is within them.
                    while f"s/{ID}" in stored_keys(site):
                        await asyncio.sleep(0.01)
                    await asyncio.sleep(0.1)
                return page

            append = Writer._append

            async def lose_history(writer, records, is_wanted):
                if KeyedRecord(f"s/{ID}", None) in records:
                    # The follower is behind when history is lost.
                    site.store.write(JOBS_TOPIC, "x/1", b"1")
                    site.store.drop_history()
                    await asyncio.sleep(0.05)
                await append(writer, records, is_wanted)

            with (
                mock.patch.object(site.store, "read_latest", read_slowly),
                mock.patch.object(Writer, "_append", lose_history),
            ):
                await asyncio.sleep(20)
            self.assertIs(site.owner(), owner)
            self.assertEqual(self.started_after(site, at_ms), [])

        self.run_scenario(scenario)

    def test_cancelled_job_is_read_again(self):
        """It is known as cancelled, as its cancellation is read first."""
        self.reload_beside_purge(cancelled=True)

    @mock.patch.object(_store, "PAGE_SIZE", 2)
    def test_cancelled_job_is_read_again_in_pages(self):
        """UNASKED: its cancellation is read while the job is still known."""
        self.reload_beside_purge(cancelled=True)

    def test_completed_job_is_read_again(self):
        """TWICE: its progress is ignored, and all of its tasks start."""
        self.reload_beside_purge(cancelled=False)
