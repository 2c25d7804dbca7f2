"""Gangs of which one member may still run, on whole sites."""

import asyncio
import unittest

from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.platform import SimulatedSite, violations
from standins.platform._site import QUEUE
from tests.node.test_unstarted_doubts import DoubtTestCase, cut_off, until


class GangTest(DoubtTestCase):
    """One member of a long-running gang may run, the other does not."""

    def run_scenario(self, second_answers: bool) -> list[str]:
        """Returns the violations.

        The first member starts, but the answer is lost and nobody reaches its
        worker any more. No order for the second one is sent. Then the cell
        passes on.
        """
        step = StepSpec(
            2,
            Resources(1000, 500, 0),
            60_000,
            gang=True,
            long_running=True,
            per_worker=1,
        )
        spec = JobSpec("1" * 16, QUEUE, "payload", (step,))
        workers: dict[int, str] = {}

        async def hook(site, dispatcher, worker, effect) -> None:
            if effect.run == 1:
                workers[effect.task.index] = worker.id
                if effect.task.index == 1:
                    await asyncio.Event().wait()
                link = site.owner().worker_links[worker.id]
                link.reply_loss_rate = 1.0
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(spec))
            await until(lambda: len(workers) == 2)
            first = site.workers[workers[0]]
            await until(first.running)
            cut_off(site, workers[0])
            if not second_answers:
                cut_off(site, workers[1])
            site.pass_cell_on()
            await asyncio.sleep(8)

        site = self.run_site(scenario, hook)
        self.assertGreater(len(self.starts(site)), 1)
        return [v for v in violations(site.history) if v.startswith("TWICE")]

    def test_reported_member(self):
        """TWICE: the whole gang starts as one member was reported."""
        self.assertEqual(self.run_scenario(second_answers=False), [])

    def test_member_whose_worker_answers(self):
        """TWICE: the whole gang starts as one worker answered."""
        self.assertEqual(self.run_scenario(second_answers=True), [])


class ShortGangTest(DoubtTestCase):
    """A worker restarts with a member of a gang that is not long-running."""

    def run_scenario(self, gang: bool) -> list[str]:
        """Returns the violations of TWICE; ownership does not change.

        The first of two tasks may have an order on the way to its worker, which
        restarts. The start of the second one is withdrawn.
        """
        step = StepSpec(
            2, Resources(1000, 500, 0), 6000, gang=gang, per_worker=1
        )
        spec = JobSpec("1" * 16, QUEUE, "payload", (step,))
        workers: dict[int, str] = {}

        async def hook(site, dispatcher, worker, effect) -> None:
            if effect.run == 1:
                workers[effect.task.index] = worker.id
                link = site.owner().worker_links[worker.id]
                if effect.task.index == 1:
                    link.refusing = True
                else:
                    link.late_rate = 1.0
                    link.late_ms = (2500.0, 2500.0)
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(spec))
            await until(lambda: len(workers) == 2)
            await asyncio.sleep(0.1)
            first = site.workers[workers[0]]
            first.crash()
            first.restart()
            cut_off(site, workers[0])
            await asyncio.sleep(24)

        site = self.run_site(scenario, hook)
        self.assertGreater(len(self.starts(site)), 1)
        return [v for v in violations(site.history) if v.startswith("TWICE")]

    def test_member_of_a_restarted_worker(self):
        """TWICE: the gang starts as its second member need not wait.

        Its first member has to wait for the restarted worker.
        """
        self.assertEqual(self.run_scenario(gang=True), [])

    def test_other_tasks(self):
        """TWICE: the same with tasks that are no gang."""
        self.assertEqual(self.run_scenario(gang=False), [])


if __name__ == "__main__":
    unittest.main()
