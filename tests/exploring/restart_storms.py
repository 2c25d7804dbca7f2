"""Randomized restarts of workers behind a cut, beside lost owners.

The jobs have several steps, and there are few workers, so that a task often
starts again where it was. To run a range of seeds by hand:

    python -m tests.exploring.restart_storms FIRST LAST
"""

import asyncio
import contextlib
import random
import sys

from limpetyard._registry import Registry
from limpetyard.engine import RunEndKind
from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.platform import run_in_virtual_time
from standins.platform._site import QUEUE
from tests.exploring import ownership_storms, storms
from tests.exploring.ownership_storms import OwnershipSite

JOB_COUNT = 10

# Delay of a start order that is carried out after the restart of its worker.
LATE_MS = (1000.0, 6000.0)

FAULTS: Registry[storms.Fault] = Registry("fault about a restart")
for _name in ("run_fails", "owner_lost"):
    FAULTS.register(_name)(ownership_storms.FAULTS.get(_name))


@FAULTS.register("worker_lost_behind_cut")
@storms.records_store_fault
async def _lose_behind_cut(site: OwnershipSite, rng: random.Random) -> None:
    """A busy worker restarts behind a cut; it is lost, or back later.

    Some of its starts may be late, a run of it may fail just before, and its
    owner may be lost, or be unable to store anything.
    """
    worker, owner = site.busy_worker(rng), site.owner_before(0, rng)
    if not worker.up:
        return
    links = site.links_to(worker, None)
    with contextlib.ExitStack() as held:
        if rng.random() < 0.5:
            held.enter_context(site.hold([owner.store_link], "cut", True))
        if worker.running() and rng.random() < 0.6:
            task = rng.choice(worker.running())
            worker.end_run(task, RunEndKind.FAILED)
            await asyncio.sleep(rng.uniform(0, 0.1))
        with (
            site.hold(links, "late_ms", LATE_MS),
            site.hold(links, "late_rate", rng.choice([0.0, 0.5, 1.0])),
        ):
            await asyncio.sleep(rng.uniform(0, 0.6))
        held.enter_context(site.hold(links, "cut", True))
        await asyncio.sleep(rng.uniform(0, 0.6))
        if rng.random() < 0.8:
            await site.kill_for(owner, rng.uniform(0.3, 4))
        await asyncio.sleep(rng.uniform(0, 3))
        if not worker.up:
            return
        worker.crash()
        worker.restart()
        await asyncio.sleep(rng.uniform(0, 2))
        up = [other for other in site.workers.values() if other.up]
        if rng.random() < 0.4 and len(up) > 2:
            worker.crash()
        else:
            await asyncio.sleep(rng.uniform(0, 9))


def _job(number: int, rng: random.Random) -> JobSpec:
    need = Resources(rng.randint(200, 1000), 500, 0)
    steps = tuple(
        StepSpec(
            rng.randint(1, 4),
            need,
            rng.randint(500, 6000),
            after=(step - 1,) if step else (),
            gang=step == 1 and rng.random() < 0.2,
        )
        for step in range(rng.randint(1, 3))
    )
    return JobSpec(f"{number:016x}", QUEUE, "payload", steps)


async def _run_schedule(seed: int) -> list[str]:
    rng = random.Random(seed)
    site = OwnershipSite(rng.randint(3, 5), rng.randint(2, 5), seed)
    for worker in site.workers.values():
        worker.clock_rate = rng.uniform(0.98, 1.0)
    await site.start()
    await asyncio.sleep(2)
    jobs = [_job(number, rng) for number in range(JOB_COUNT)]
    need = Resources(rng.randint(100, 400), 500, 0)
    step = StepSpec(rng.randint(1, 3), need, long_running=True)
    jobs.append(JobSpec(f"{JOB_COUNT:016x}", QUEUE, "payload", (step,)))

    async def submit(spec: JobSpec) -> None:
        await asyncio.sleep(rng.uniform(0, storms.FAULT_PHASE_S / 2))
        await site.submit(spec)

    pause_s = rng.choice([0.5, 3.0])
    await asyncio.gather(
        *(submit(spec) for spec in jobs),
        storms.inject_faults(site, rng, FAULTS, pause_s),
    )
    await site.wait_for_background()
    return await storms.finish(site)


def run_schedule(seed: int) -> list[str]:
    """Runs one schedule and returns the violations of rules."""
    return run_in_virtual_time(_run_schedule(seed))


if __name__ == "__main__":
    sys.exit(storms.main(run_schedule))
