"""Failures of whole processes.

Violations are counted from what the stand-ins record.
"""

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
    """Test case with short leases, so that takeovers happen soon."""

    flags = FLAGS

    def setUp(self):
        """Creates the clock that all processes of the site share."""
        self.clock = BootClock()

    async def assert_no_violations(self) -> None:
        """Checks the events that the workers recorded."""
        worker_events = await self.site.worker_events()
        sizes = dict.fromkeys(self.site.workers, WORKER_SIZE)
        self.assertEqual(checks.overlaps(worker_events), [])
        self.assertEqual(checks.finished_twice(worker_events), [])
        self.assertEqual(checks.started_twice(worker_events), [])
        self.assertEqual(checks.overloads(worker_events, sizes), [])

    async def count_finished(self, job: str) -> int:
        """Returns how many tasks of a job finished."""
        return sum(
            event.what == "finished" and event.task.startswith(f"{job}/")
            for event in await self.site.worker_events()
        )

    async def wait_for_owner(self) -> str:
        """Waits until a cell has an owner and returns the owner's name."""
        owner = ""

        async def has_owner() -> bool:
            nonlocal owner
            owner = await self.find_owner()
            return bool(owner)

        await self.wait_until(has_owner)
        return owner

    def other_daemon(self, node: str) -> str:
        """Returns the name of a daemon other than `node`."""
        return next(name for name in self.site.daemons if name != node)


class OwnerTest(FailureTest):
    """Owners that are killed or paused, and orders that are delayed."""

    async def test_killed_owner(self):
        """After the owner is killed, another finishes its tasks, each once."""
        await self.submit("job", count=30)
        owner = await self.wait_for_owner()
        await asyncio.sleep(0.7)
        self.site.daemons[owner].kill()
        del self.site.daemons[owner]
        await self.wait_job_done("job")
        self.assertEqual(await self.count_finished("job"), 30)
        await self.assert_no_violations()

    async def test_paused_owner(self):
        """An owner that resumes after a takeover causes no violation."""
        await self.submit("job", count=40)
        owner = await self.wait_for_owner()
        paused = self.site.daemons.pop(owner)
        paused.send_signal(signal.SIGSTOP)
        await self.wait_until(lambda: self._owner_changed(owner))
        paused.send_signal(signal.SIGCONT)
        self.site.daemons[owner] = paused
        await self.submit("next", count=30)
        await self.wait_job_done("job")
        await self.wait_job_done("next")
        self.assertEqual(await self.count_finished("job"), 40)
        self.assertEqual(await self.count_finished("next"), 30)
        await self.assert_no_violations()

    async def test_delayed_start_after_move(self):
        """A start order that arrives after its task was moved has no effect."""
        await self.wait_for_owner()
        for number in range(2):
            vm_id = f"worker-{number}"
            await self.site.set_worker_faults(vm_id, hold_start_ms=5000)
        await self.submit("job", count=12)
        await asyncio.sleep(1)
        await self.set_zone(1, "zone-0", True)
        await self.set_zone(2, "zone-1", True)
        await self.wait_job_done("job")
        await asyncio.sleep(5)
        self.assertEqual(await self.count_finished("job"), 12)
        await self.assert_no_violations()

    async def test_zone_out_during_takeover(self):
        """A zone that goes out of service during a takeover gets no start."""
        owner = await self.wait_for_owner()
        self.site.daemons[owner].kill()
        del self.site.daemons[owner]
        await self.submit("job", count=30)
        begin_ms = self.clock.now_ms()
        await self.set_zone(1, "zone-2", True)
        await self.wait_job_done("job")
        outage = checks.ZoneOutage("zone-2", begin_ms, float("inf"))
        worker_events = await self.site.worker_events()
        self.assertEqual(
            checks.zone_outage_starts(worker_events, [outage], GRACE_MS), []
        )
        await self.assert_no_violations()

    async def _owner_changed(self, owner: str) -> bool:
        return await self.find_owner() not in ("", owner)


class OutageTest(FailureTest):
    """Outages of the log and faulty workers."""

    async def test_log_outage(self):
        """In a log outage requests and runs continue, and nothing starts."""
        await self.submit("job", "urgent-count", count=6)
        await self.wait_until(lambda: self._started(6))
        await self.site.set_log_faults(down=True)
        begin_ms = self.clock.now_ms()
        load_generator = LoadGenerator(self.site)
        await load_generator.refresh_ready()
        await load_generator.load("tally", 40, 12, False)
        await load_generator.close()
        worker_events = await self.site.worker_events()
        self.assertEqual({event.what for event in worker_events}, {"start"})
        late = [
            event
            for event in worker_events
            if event.at_ms > begin_ms + GRACE_MS
        ]
        self.assertEqual(late, [])
        self.assertTrue(
            all(result.answered for result in load_generator.results)
        )
        await self.site.set_log_faults()
        await self.submit("next", count=3)
        await self.wait_job_done("next")
        await self.assert_no_violations()

    async def test_lost_append_replies(self):
        """An append whose reply is lost takes effect once."""
        await self.wait_for_owner()
        await self.site.set_log_faults(lose_answers=6)
        status, reply = await self.set_zone(1, "zone-0", True)
        self.assertEqual((status, reply), (200, {"version": 2}))
        await self.submit("job", count=8)
        await self.submit("job", count=8)
        await self.wait_job_done("job")
        self.assertEqual(await self.count_finished("job"), 8)
        await self.assert_no_violations()

    async def test_failing_and_frozen_workers(self):
        """Tasks finish despite a worker that fails and one that is frozen."""
        await self.site.set_worker_faults("worker-0", fail_everything=True)
        await self.site.set_worker_faults("worker-1", frozen=True)
        await self.submit("job", count=20)
        await self.wait_job_done("job", 45)
        self.assertEqual(await self.count_finished("job"), 20)
        await self.assert_no_violations()

    async def _started(self, count: int) -> bool:
        return len(await self.site.worker_events()) >= count


class ConfigurationTest(FailureTest):
    """Concurrent, slow and invalid changes of the configuration."""

    daemon_count = 3
    worker_count = 0
    target_count = 0

    async def test_one_of_two_concurrent_changes_succeeds(self):
        """Of two changes of the same version exactly one is accepted."""
        nodes = list(self.site.daemons)
        for version in range(1, 6):
            replies = await asyncio.gather(
                self._publish_as(nodes[0], version),
                self._publish_as(nodes[1], version),
            )
            statuses = sorted(status for status, _ in replies)
            self.assertEqual(statuses, [200, 409])

    async def test_change_takes_effect_and_never_reverts(self):
        """A change is in force everywhere in time, also after a restart."""
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
        """An invalid document is rejected with its position and the reason."""
        _, reply = await self.publish(1, "[partner.north]\nweight = -1.0\n")
        self.assertEqual(reply["kind"], "invalid_document")
        self.assertIn("partner", reply["detail"])
        _, config = await self.site.call("GET", "/api/config")
        self.assertEqual(config["version"], 1)

    async def test_wrong_token(self):
        """The administration API rejects a wrong token."""
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
        """Records in `reverts` each version below one that a node had before.

        Runs until cancelled.
        """
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
    """The log has trimmed the record of the only configuration change."""

    daemon_count = 2
    worker_count = 0
    target_count = 0
    flags = (*FLAGS, "--snapshot-ms=1000")

    # The newest record, a recent snapshot, is still within the retention.
    kept_records = 1

    async def test_restart_after_trim(self):
        """A daemon that starts long after the last change reads a snapshot."""
        self.assertTrue(await self._restarted_daemon_is_ready())

    async def _restarted_daemon_is_ready(self) -> bool:
        await asyncio.sleep(3)
        await self.site.set_log_faults(trim=self.kept_records)
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
    """The log has trimmed all records, since snapshots are too rare.

    Shows that the check detects a daemon that cannot read the configuration.
    """

    flags = FLAGS
    kept_records = 0

    async def test_restart_after_trim(self):
        """Without a snapshot the daemon does not become ready."""
        self.assertFalse(await self._restarted_daemon_is_ready())


class LeavingTest(FailureTest):
    """Daemons and targets that leave the site."""

    daemon_count = 3
    worker_count = 0
    target_count = 4

    async def test_leaving_daemon_interrupts_no_request(self):
        """Every request is answered during a rolling restart of daemons."""
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
        unanswered = [r for r in load_generator.results if not r.answered]
        self.assertEqual(unanswered, [])

    async def test_leaving_target_gets_no_new_requests(self):
        """No request arrives later than `GRACE_MS` after the list shows it."""
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
        self.assertTrue(
            all(result.answered for result in load_generator.results)
        )


if __name__ == "__main__":
    unittest.main()
