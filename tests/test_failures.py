"""Failures of whole processes, counted from the stand-ins' record."""

import asyncio
import contextlib
import signal
import unittest

from limpetyard._clock import BootClock
from standins import checks
from standins.load_generator import LoadGenerator
from standins.site import WORKER_SIZE
from tests.sites import PARAMETERS, SiteTest

CONFIG_LIMIT_MS = 6000
GRACE_MS = 3000
FLAGS = (
    "--log-level=WARNING",
    "--drain-ms=500",
    "--lease-ms=2000",
    "--task-lease-ms=4000",
)


class FailureTest(SiteTest):
    """A site whose leases are short."""

    flags = FLAGS

    def setUp(self):
        """Sets the clock of the machine that everything runs on."""
        self.clock = BootClock()

    async def assert_sound(self) -> None:
        """Checks everything that the workers recorded."""
        worker_events = await self.site.worker_events()
        sizes = dict.fromkeys(self.site.workers, WORKER_SIZE)
        self.assertEqual(checks.overlaps(worker_events), [])
        self.assertEqual(checks.finished_twice(worker_events), [])
        self.assertEqual(checks.started_twice(worker_events), [])
        self.assertEqual(checks.overloads(worker_events, sizes), [])

    async def finished(self, job: str) -> int:
        """Returns how many tasks of a job ran to their end."""
        return sum(
            h.what == "finished" and h.task.startswith(f"{job}/")
            for h in await self.site.worker_events()
        )

    async def owner_now(self) -> str:
        """Waits for an owner of the cell and returns its node."""
        found = ""

        async def known() -> bool:
            nonlocal found
            found = await self.owner()
            return bool(found)

        await self.wait_until(known)
        return found

    def other(self, node: str) -> str:
        """Returns a node besides `node`."""
        return next(name for name in self.site.daemons if name != node)


class OwnerTest(FailureTest):
    """Owners that die, freeze or are held up."""

    async def test_killed_owner(self):
        """The work of a killed owner is taken over and runs once."""
        await self.submit("job", count=30)
        owner = await self.owner_now()
        await asyncio.sleep(0.7)
        self.site.daemons[owner].kill()
        del self.site.daemons[owner]
        await self.wait_job_done("job")
        self.assertEqual(await self.finished("job"), 30)
        await self.assert_sound()

    async def test_frozen_owner(self):
        """An owner that sleeps through every lease does no harm after."""
        await self.submit("job", count=40)
        owner = await self.owner_now()
        frozen = self.site.daemons.pop(owner)
        frozen.send_signal(signal.SIGSTOP)
        await self.wait_until(lambda: self._moved(owner))
        frozen.send_signal(signal.SIGCONT)
        self.site.daemons[owner] = frozen
        await self.submit("next", count=30)
        await self.wait_job_done("job")
        await self.wait_job_done("next")
        self.assertEqual(await self.finished("job"), 40)
        self.assertEqual(await self.finished("next"), 30)
        await self.assert_sound()

    async def test_start_held_back_past_the_move(self):
        """A start that arrives after its task was moved does nothing."""
        await self.owner_now()
        for number in range(2):
            vm_id = f"worker-{number}"
            await self.site.set_worker_faults(vm_id, hold_start_ms=5000)
        await self.submit("job", count=12)
        await asyncio.sleep(1)
        await self.set_zone(1, "zone-0", True)
        await self.set_zone(2, "zone-1", True)
        await self.wait_job_done("job")
        await asyncio.sleep(5)
        self.assertEqual(await self.finished("job"), 12)
        await self.assert_sound()

    async def test_zone_out_during_takeover(self):
        """A zone that goes out while nobody owns the cell gets no start."""
        owner = await self.owner_now()
        self.site.daemons[owner].kill()
        del self.site.daemons[owner]
        await self.submit("job", count=30)
        begin_ms = self.clock.now_ms()
        await self.set_zone(1, "zone-2", True)
        await self.wait_job_done("job")
        out = checks.ZoneOutage("zone-2", begin_ms, float("inf"))
        worker_events = await self.site.worker_events()
        self.assertEqual(
            checks.zone_outage_starts(worker_events, [out], GRACE_MS), []
        )
        await self.assert_sound()

    async def _moved(self, owner: str) -> bool:
        return await self.owner() not in ("", owner)


class OutageTest(FailureTest):
    """Outages of the platform."""

    async def test_log_outage(self):
        """Requests go on, runs live, nothing starts while the log is down."""
        await self.submit("job", "urgent-count", count=6)
        await self.wait_until(lambda: self._started(6))
        await self.site.set_log_faults(down=True)
        begin_ms = self.clock.now_ms()
        load_generator = LoadGenerator(self.site)
        await load_generator.refresh_ready()
        await load_generator.load("tally", 40, 12, False)
        await load_generator.close()
        worker_events = await self.site.worker_events()
        self.assertEqual({h.what for h in worker_events}, {"start"})
        late = [h for h in worker_events if h.at_ms > begin_ms + GRACE_MS]
        self.assertEqual(late, [])
        self.assertTrue(all(t.answered for t in load_generator.results))
        await self.site.set_log_faults()
        await self.submit("next", count=3)
        await self.wait_job_done("next")
        await self.assert_sound()

    async def test_lost_answers(self):
        """Appends whose answers are lost count once."""
        await self.owner_now()
        await self.site.set_log_faults(lose_answers=6)
        status, answer = await self.set_zone(1, "zone-0", True)
        self.assertEqual((status, answer), (200, {"version": 2}))
        await self.submit("job", count=8)
        await self.submit("job", count=8)
        await self.wait_job_done("job")
        self.assertEqual(await self.finished("job"), 8)
        await self.assert_sound()

    async def test_failing_and_frozen_workers(self):
        """Work goes around a worker that fails all and one that is frozen."""
        await self.site.set_worker_faults("worker-0", fail_everything=True)
        await self.site.set_worker_faults("worker-1", frozen=True)
        await self.submit("job", count=20)
        await self.wait_job_done("job", 45)
        self.assertEqual(await self.finished("job"), 20)
        await self.assert_sound()

    async def _started(self, count: int) -> bool:
        return len(await self.site.worker_events()) >= count


class ConfigurationTest(FailureTest):
    """Configuration under failure."""

    daemon_count = 3
    worker_count = 0
    target_count = 0

    async def test_one_of_two_operators_succeeds(self):
        """Of two acts on the same version one is accepted."""
        nodes = list(self.site.daemons)
        for version in range(1, 6):
            answers = await asyncio.gather(
                self._publish_as(nodes[0], version),
                self._publish_as(nodes[1], version),
            )
            statuses = sorted(status for status, _ in answers)
            self.assertEqual(statuses, [200, 409])

    async def test_in_force_everywhere_and_never_reverts(self):
        """A change is in force within the limit; a newcomer has it too."""
        watch = asyncio.ensure_future(self._watch())
        for version in range(1, 12):
            begin_ms = self.clock.now_ms()
            if version == 4:
                self.site.daemons["entry-2"].kill()
                self.site.start_daemon("entry-2")
                await self.site.wait_ready("entry-2")
                begin_ms = self.clock.now_ms()
            if version == 8:
                await self.site.set_log_faults(slow_ms=300)
            status, _ = await self._publish_as("entry-0", version)
            self.assertEqual(status, 200)
            await self.wait_in_force(version + 1)
            took_ms = self.clock.now_ms() - begin_ms
            self.assertLess(took_ms, CONFIG_LIMIT_MS)
        watch.cancel()
        self.assertEqual(self.reverts, [])

    async def test_invalid_document_changes_nothing(self):
        """A bad document is refused with its place and reason."""
        _, answer = await self.publish(1, "[partner.north]\nweight = -1.0\n")
        self.assertEqual(answer["kind"], "invalid_document")
        self.assertIn("partner", answer["detail"])
        _, config = await self.site.call("GET", "/api/config")
        self.assertEqual(config["version"], 1)

    async def test_wrong_token(self):
        """The administration API refuses a wrong token."""
        url = f"{self.site.admin['entry-0']}/api/config"
        headers = {"Authorization": "Bearer wrong"}
        async with self.site.http.get(url, headers=headers) as resp:
            self.assertEqual(resp.status, 401)
            self.assertEqual((await resp.json())["kind"], "unauthorized")

    async def _publish_as(self, node: str, version: int) -> tuple[int, dict]:
        return await self.site.call(
            "POST",
            "/api/config",
            {
                "expected": version,
                "author": node,
                "template": "",
                "parameters": f"{PARAMETERS}\n[limits]\nattempts = 2\n",
            },
            node,
        )

    async def _watch(self) -> None:
        self.reverts = []
        newest: dict[str, int] = {}
        while True:
            for node in list(self.site.daemons):
                with contextlib.suppress(OSError):
                    _, config = await self.site.call(
                        "GET", "/api/config", None, node
                    )
                    version = config.get("in_force")
                    if version is None:
                        continue
                    if version < newest.get(node, -1):
                        self.reverts.append(f"{node}: {version}")
                    newest[node] = max(version, newest.get(node, -1))
            await asyncio.sleep(0.02)


class RetentionTest(FailureTest):
    """A log that has dropped the only act there ever was."""

    daemon_count = 2
    worker_count = 0
    target_count = 0
    flags = (*FLAGS, "--snapshot-ms=1000")

    # Records younger than the retention: a snapshot was written lately.
    kept = 1

    async def test_newcomer_finds_an_old_configuration(self):
        """A daemon that starts long after the last act has it."""
        self.assertTrue(await self._newcomer_is_ready())

    async def _newcomer_is_ready(self) -> bool:
        await asyncio.sleep(3)
        await self.site.set_log_faults(trim=self.kept)
        self.site.daemons["entry-1"].kill()
        self.site.start_daemon("entry-1")
        try:
            async with asyncio.timeout(6):
                await self.site.wait_ready("entry-1")
                await self.wait_in_force(1)
        except TimeoutError:
            return False
        return True


class RareSnapshotTest(RetentionTest):
    """The same with snapshots that come too late."""

    flags = FLAGS
    kept = 0

    async def test_newcomer_finds_an_old_configuration(self):
        """The check sees a newcomer that cannot begin."""
        self.assertFalse(await self._newcomer_is_ready())


class LeavingTest(FailureTest):
    """Daemons and targets that leave."""

    daemon_count = 3
    worker_count = 0
    target_count = 4

    async def test_daemon_that_leaves_cuts_nothing_off(self):
        """Every request is answered while daemons are replaced in turn."""
        load_generator = LoadGenerator(self.site)
        await load_generator.refresh_ready()
        watch = asyncio.ensure_future(load_generator.watch())
        load = asyncio.ensure_future(
            load_generator.load("tally", 100, 6, False)
        )
        for node in ("entry-0", "entry-1"):
            await asyncio.sleep(1)
            loop = asyncio.get_running_loop()
            process = self.site.daemons[node]
            code = await loop.run_in_executor(None, process.terminate)
            self.assertEqual(code, 0)
            self.site.start_daemon(node)
            await self.site.wait_ready(node)
        await load
        watch.cancel()
        await load_generator.close()
        unanswered = [t for t in load_generator.results if not t.answered]
        self.assertEqual(unanswered, [])

    async def test_target_that_leaves_gets_nothing_new(self):
        """No request arrives later than the grace after the list says so."""
        load_generator = LoadGenerator(self.site)
        await load_generator.refresh_ready()
        load = asyncio.ensure_future(
            load_generator.load("tally", 100, 6, False)
        )
        await asyncio.sleep(1)
        await self.site.set_vm_state("target-1", "leaving")
        left_ms = self.clock.now_ms()
        await load
        await load_generator.close()
        records = await self.site.target_records()
        late = [
            at_ms
            for at_ms in records["target-1"].arrived_ms
            if at_ms > left_ms + GRACE_MS
        ]
        self.assertEqual(late, [])
        self.assertTrue(all(t.answered for t in load_generator.results))


if __name__ == "__main__":
    unittest.main()
