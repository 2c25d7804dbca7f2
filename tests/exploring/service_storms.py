"""Randomized submissions that repeat jobs under another service of their queue.

Meanwhile, workers are cut off and owners lost. To run a range of seeds by hand:

    python -m tests.exploring.service_storms FIRST LAST
"""

import asyncio
import contextlib
import random
import sys

import msgspec

from limpetyard._registry import Registry
from limpetyard.errors import RequestError
from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.platform import run_in_virtual_time
from standins.platform._site import DEADLINE_MS, QUEUE
from tests.exploring import ownership_storms, storms
from tests.exploring.ownership_storms import OwnershipSite

JOB_COUNT = 10
SERVICES = (QUEUE.service, "other-service")

# Delay of a start order that is carried out after the restart of its worker.
LATE_MS = (1000.0, 6000.0)

FAULTS: Registry[storms.Fault] = Registry("fault beside repeats")
FAULTS.register("owner_lost")(ownership_storms.FAULTS.get("owner_lost"))


def _through_route(spec: JobSpec, service: str) -> JobSpec:
    """Returns a job as accepted while its route has a service."""
    queue = msgspec.structs.replace(QUEUE, service=service)
    return msgspec.structs.replace(spec, queue=queue)


async def _repeat(site: OwnershipSite, rng: random.Random) -> None:
    """Submits some of the jobs again, each through one of the routes."""
    for spec in list(site.history.submitted.values()):
        host = rng.choice(site.hosts)
        if rng.random() < 0.5 or host.job_service is None:
            continue
        repeat = _through_route(spec, rng.choice(SERVICES))
        with contextlib.suppress(RequestError):
            await host.job_service.submit(repeat, DEADLINE_MS)


@FAULTS.register("repeated_beside_cut")
@storms.records_store_fault
async def _repeat_beside_cut(site: OwnershipSite, rng: random.Random) -> None:
    """A busy worker is cut off, jobs are repeated, and the owner is lost.

    The owner may not read the repeats. The worker may restart with another
    service, and starts on it may be late.
    """
    worker, owner = site.busy_worker(rng), site.owner_before(0, rng)
    links = site.links_to(worker, None)
    restarts = rng.random() < 0.3
    with contextlib.ExitStack() as held:
        if restarts:
            with (
                site.hold(links, "late_ms", LATE_MS),
                site.hold(links, "late_rate", 0.5),
            ):
                await asyncio.sleep(rng.uniform(0, 0.6))
        if rng.random() < 0.5:
            held.enter_context(site.hold([owner.store_link], "cut", True))
        await _repeat(site, rng)
        await asyncio.sleep(rng.uniform(0, 0.2))
        held.enter_context(site.hold(links, "cut", True))
        await asyncio.sleep(rng.uniform(0, 0.6))
        await site.kill_for(owner, rng.uniform(0.3, 4))
        if restarts and worker.up:
            worker.crash()
            worker.entry = msgspec.structs.replace(
                worker.entry, service=rng.choice(SERVICES)
            )
            worker.restart()
        await asyncio.sleep(rng.uniform(0, 9))


def _job(number: int, rng: random.Random) -> JobSpec:
    need = Resources(rng.randint(200, 1000), 500, 0)
    steps = tuple(
        StepSpec(
            rng.randint(1, 3),
            need,
            rng.randint(500, 8000),
            after=(step - 1,) if step else (),
        )
        for step in range(rng.randint(1, 3))
    )
    return JobSpec(f"{number:016x}", QUEUE, "payload", steps)


async def _run_schedule(seed: int) -> list[str]:
    rng = random.Random(seed)
    site = OwnershipSite(rng.randint(3, 5), rng.randint(4, 7), seed)
    for number, worker in enumerate(site.workers.values()):
        worker.clock_rate = rng.uniform(0.98, 1.0)
        worker.entry = msgspec.structs.replace(
            worker.entry, service=SERVICES[number % len(SERVICES)]
        )
    await site.start()
    await asyncio.sleep(2)

    async def submit(spec: JobSpec) -> None:
        await asyncio.sleep(rng.uniform(0, storms.FAULT_PHASE_S))
        await site.submit(_through_route(spec, rng.choice(SERVICES)))

    pause_s = rng.choice([0.5, 3.0])
    jobs = [_job(number, rng) for number in range(JOB_COUNT)]
    await asyncio.gather(
        *(submit(spec) for spec in jobs),
        storms.inject_faults(site, rng, FAULTS, pause_s),
    )
    await site.wait_for_background()
    # Whatever workers have changed to, each service has some.
    for number, service in enumerate(SERVICES, len(site.workers)):
        worker = site.add_worker(number)
        worker.entry = msgspec.structs.replace(worker.entry, service=service)
    return await storms.finish(site)


def run_schedule(seed: int) -> list[str]:
    """Runs one schedule and returns the violations of rules."""
    return run_in_virtual_time(_run_schedule(seed))


if __name__ == "__main__":
    sys.exit(storms.main(run_schedule))
