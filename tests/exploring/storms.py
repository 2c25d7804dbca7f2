"""Random troubles on a whole site; a seed is a schedule.

Run by hand: python -m tests.exploring.storms FIRST LAST
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

import msgspec

from limpetyard._registry import Registry
from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._site import QUEUE
from standins.platform._virtual_time import START_WALL_MS

JOBS = 25
STORM_S = 25.0
CALM_S = 25.0

# Longest wait for one job after that: the longest jobs on the fewest workers.
FINISH_MS = 20_000
Trouble = Callable[[SimulatedSite, random.Random], Awaitable[None]]
TROUBLES: Registry[Trouble] = Registry("trouble")


def _disturbs_store(trouble: Trouble) -> Trouble:
    """Notes in the record when a trouble of the store begins and ends."""

    async def noted(site: SimulatedSite, rng: random.Random) -> None:
        begun_ms = site.clock.now_ms()
        fault_windows = site.history.store_fault_windows
        fault_windows.append((begun_ms, float("inf")))
        await trouble(site, rng)
        fault_windows.remove((begun_ms, float("inf")))
        fault_windows.append((begun_ms, site.clock.now_ms()))

    return noted


def _host(site: SimulatedSite, rng: random.Random):
    """Returns the owner's VM half of the time, else any."""
    return (rng.random() < 0.5 and site.owner()) or rng.choice(site.hosts)


@TROUBLES.register("kill")
async def _kill(site: SimulatedSite, rng: random.Random) -> None:
    host = _host(site, rng)
    await site.kill_node(host)
    await asyncio.sleep(rng.uniform(0.1, 3))
    if host.node is None:
        await site.start_node(host)


@TROUBLES.register("kill_all")
async def _kill_all(site: SimulatedSite, rng: random.Random) -> None:
    for host in site.hosts:
        await site.kill_node(host)
    await asyncio.sleep(rng.uniform(0.3, 2))
    for host in site.hosts:
        if host.node is None:
            await site.start_node(host)


@TROUBLES.register("leave")
async def _leave(site: SimulatedSite, rng: random.Random) -> None:
    host = _host(site, rng)
    if host.node is None:
        return
    await host.node.leave()
    await site.kill_node(host)
    await site.start_node(host)


@TROUBLES.register("freeze")
async def _freeze(site: SimulatedSite, rng: random.Random) -> None:
    host = _host(site, rng)
    site.freeze(host)
    await asyncio.sleep(rng.uniform(0.5, 8))
    site.thaw(host)


@TROUBLES.register("cut_store")
@_disturbs_store
async def _cut_store(site: SimulatedSite, rng: random.Random) -> None:
    link = _host(site, rng).store_link
    link.cut = True
    await asyncio.sleep(rng.uniform(0.5, 8))
    link.cut = False


@TROUBLES.register("cut_workers")
async def _cut_workers(site: SimulatedSite, rng: random.Random) -> None:
    links = list(_host(site, rng).worker_links.values())
    links = rng.sample(links, rng.randint(1, len(links)))
    for link in links:
        link.cut = True
    await asyncio.sleep(rng.uniform(0.5, 8))
    for link in links:
        link.cut = False


@TROUBLES.register("worker_cut_off")
async def _worker_cut_off(site: SimulatedSite, rng: random.Random) -> None:
    worker = rng.choice(list(site.workers))
    for host in site.hosts:
        host.worker_links[worker].cut = True
    await asyncio.sleep(rng.uniform(0.5, 8))
    for host in site.hosts:
        host.worker_links[worker].cut = False


@TROUBLES.register("store_out")
@_disturbs_store
async def _store_out(site: SimulatedSite, rng: random.Random) -> None:
    how = rng.choice(["cut", "refusing"])
    for host in site.hosts:
        setattr(host.store_link, how, True)
    await asyncio.sleep(rng.uniform(0.5, 6))
    if rng.random() < 0.5:
        site.store.expire_members()
    for host in site.hosts:
        setattr(host.store_link, how, False)


@TROUBLES.register("store_slow")
@_disturbs_store
async def _store_slow(site: SimulatedSite, rng: random.Random) -> None:
    for host in site.hosts:
        host.store_link.delay_ms = rng.uniform(50, 300)
    await asyncio.sleep(rng.uniform(1, 5))
    for host in site.hosts:
        host.store_link.delay_ms = 1.0


@TROUBLES.register("store_answers")
@_disturbs_store
async def _store_answers(site: SimulatedSite, rng: random.Random) -> None:
    for host in site.hosts:
        host.store_link.reply_loss_rate = 0.3
        host.store_link.late_rate = rng.choice([0.0, 0.3])
    await asyncio.sleep(rng.uniform(1, 5))
    for host in site.hosts:
        host.store_link.reply_loss_rate = host.store_link.late_rate = 0.0


@TROUBLES.register("orders_late")
async def _orders_late(site: SimulatedSite, rng: random.Random) -> None:
    links = [link for host in site.hosts for link in host.worker_links.values()]
    for link in links:
        link.late_rate = 0.2
        link.late_ms = (2000.0, 12_000.0)
    await asyncio.sleep(rng.uniform(1, 6))
    for link in links:
        link.late_rate = 0.0


@TROUBLES.register("order_answers")
async def _order_answers(site: SimulatedSite, rng: random.Random) -> None:
    links = [link for host in site.hosts for link in host.worker_links.values()]
    for link in links:
        link.reply_loss_rate = 0.3
    await asyncio.sleep(rng.uniform(1, 6))
    for link in links:
        link.reply_loss_rate = 0.0


@TROUBLES.register("worker_reborn")
async def _worker_reborn(site: SimulatedSite, rng: random.Random) -> None:
    worker = rng.choice(list(site.workers.values()))
    if not worker.up:
        return
    worker.crash()
    await asyncio.sleep(rng.uniform(0.05, 5))
    worker.restart()


@TROUBLES.register("worker_gone")
async def _worker_gone(site: SimulatedSite, rng: random.Random) -> None:
    up = [worker for worker in site.workers.values() if worker.up]
    if len(up) > 3:
        rng.choice(up).crash()


@TROUBLES.register("worker_leaves")
async def _worker_leaves(site: SimulatedSite, rng: random.Random) -> None:
    up = [worker for worker in site.workers.values() if worker.up]
    if len(up) <= 3:
        return
    worker = rng.choice(up)
    worker.drain()
    entry = msgspec.msgpack.encode(worker.entry)
    site.store.write("workers", worker.entry.id, entry)
    await asyncio.sleep(rng.uniform(2, 6))
    worker.leave()


@TROUBLES.register("worker_fails")
async def _worker_fails(site: SimulatedSite, rng: random.Random) -> None:
    worker = rng.choice(list(site.workers.values()))
    worker.failure_rate = 1.0
    await asyncio.sleep(rng.uniform(1, 5))
    worker.failure_rate = 0.0


@TROUBLES.register("deal_anew")
async def _deal_anew(site: SimulatedSite, rng: random.Random) -> None:
    site.store.reassign_partitions()


@TROUBLES.register("forget")
async def _forget(site: SimulatedSite, rng: random.Random) -> None:
    site.store.drop_history(rng.choice([(), ("workers",)]))


@TROUBLES.register("zone_out")
async def _zone_out(site: SimulatedSite, rng: random.Random) -> None:
    site.set_zone("zone-1", True)
    await asyncio.sleep(rng.uniform(1, 8))
    site.set_zone("zone-1", False)


@TROUBLES.register("clock")
async def _clock(site: SimulatedSite, rng: random.Random) -> None:
    host = _host(site, rng)
    host.clock.jump_ms = rng.choice([-3000, 0, 3000])


def random_job(number: int, rng: random.Random) -> JobSpec:
    """Returns a job of one to three steps."""
    steps = []
    for step in range(rng.randint(1, 3)):
        need = Resources(rng.randint(200, 4000), rng.randint(100, 4000), 0)
        steps.append(
            StepSpec(
                rng.randint(1, 6),
                need,
                rng.randint(50, 3000),
                after=(step - 1,) if step else (),
                checkpoints=rng.random() < 0.5,
                per_worker=rng.choice([0, 0, 2]),
            )
        )
    if rng.random() < 0.15:
        need = Resources(rng.randint(200, 2000), 500, 0)
        steps[-1] = StepSpec(
            rng.randint(2, 4),
            need,
            rng.randint(50, 2000),
            after=steps[-1].after,
            checkpoints=rng.random() < 0.5,
            gang=True,
        )
    if rng.random() < 0.15:
        need = Resources(rng.randint(200, 2000), 500, 0)
        count = rng.randint(1, 3)
        steps = [StepSpec(count, need, long_running=True, per_worker=1)]
    occurrences, first_due_ms = 1, 0.0
    if rng.random() < 0.1:
        occurrences, first_due_ms = 3, START_WALL_MS + rng.uniform(0, 20_000)
    return JobSpec(
        f"{number:016x}",
        QUEUE,
        "payload",
        tuple(steps),
        occurrences=occurrences,
        first_due_ms=first_due_ms,
        interval_ms=2000.0,
    )


async def _client(site: SimulatedSite, number: int, rng: random.Random) -> None:
    spec = random_job(number, rng)
    await asyncio.sleep(rng.uniform(0, STORM_S))
    if not await site.submit(spec):
        return
    lasting = spec.steps[0].long_running
    if lasting or rng.random() < 0.15:
        await asyncio.sleep(rng.uniform(0, 20 if lasting else 3))
        await site.cancel(spec.id)
    for _ in range(4):
        await asyncio.sleep(rng.uniform(0.2, 6))
        await site.query_state(spec.id)


async def _storm(site: SimulatedSite, rng: random.Random) -> None:
    end = asyncio.get_running_loop().time() + STORM_S
    names = list(TROUBLES)
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(rng.expovariate(1.0))
        begun_ms = site.clock.now_ms()
        site.history.fault_windows.append((begun_ms, float("inf")))
        await TROUBLES.get(rng.choice(names))(site, rng)
        site.history.fault_windows.remove((begun_ms, float("inf")))
        site.history.fault_windows.append((begun_ms, site.clock.now_ms()))


async def _play(seed: int) -> list[str]:
    rng = random.Random(seed)
    site = SimulatedSite(rng.randint(2, 5), rng.randint(4, 8), seed)
    for worker in site.workers.values():
        worker.failure_rate = 0.03
        worker.clock_rate = rng.uniform(0.98, 1.0)
    await site.start()
    await asyncio.sleep(2)
    clients = [_client(site, n, rng) for n in range(JOBS)]
    storms = [_storm(site, rng) for _ in range(rng.randint(1, 3))]
    await asyncio.gather(*clients, *storms)
    await asyncio.sleep(CALM_S)
    for job_id in sorted(site.history.submitted):
        await site.wait_for(
            job_id, ("completed", "failed", "cancelled", ""), FINISH_MS
        )
    idle = site.unplaced_long_running()
    await site.stop()
    return violations(site.history) + idle


def play(seed: int) -> list[str]:
    """Plays one schedule and returns what it broke."""
    return run_in_virtual_time(_play(seed))


def main() -> int:
    """Plays seeds from the command line; returns how many broke something."""
    from loguru import logger

    logger.remove()
    first, last = int(sys.argv[1]), int(sys.argv[2])
    bad = 0
    for seed in range(first, last + 1):
        found = play(seed)
        if found:
            bad += 1
            print(f"seed {seed}: {len(found)}: {found[:3]}", flush=True)
    print(f"schedules={last - first + 1} broken={bad}")
    return min(bad, 1)


if __name__ == "__main__":
    sys.exit(main())
