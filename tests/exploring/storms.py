"""Randomized faults on a simulated site; the seed determines the schedule.

To run a range of seeds by hand:

    python -m tests.exploring.storms FIRST LAST
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable

import msgspec

from limpetyard._registry import Registry
from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.yard import World, run_virtual, violations
from standins.yard._virtual import WORLD_BEGIN_MS
from standins.yard._world import QUEUE

JOB_COUNT = 25
FAULT_PHASE_S = 25.0
RECOVERY_S = 25.0

# Longest wait for each job after that: enough for the longest jobs on the
# smallest site.
JOB_TIMEOUT_MS = 20_000
Fault = Callable[[World, random.Random], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


def _records_store_fault(fault: Fault) -> Fault:
    """Records the start and the end of a fault of the store."""

    async def run_and_record(world: World, rng: random.Random) -> None:
        start_ms = world.clock.now_ms()
        troubles = world.record.store_troubles
        troubles.append((start_ms, float("inf")))
        await fault(world, rng)
        troubles.remove((start_ms, float("inf")))
        troubles.append((start_ms, world.clock.now_ms()))

    return run_and_record


def _pick_host(world: World, rng: random.Random):
    """Returns a VM; half of the time the owner's, if there is one."""
    return (rng.random() < 0.5 and world.owner()) or rng.choice(world.hosts)


@FAULTS.register("kill")
async def _restart_node(world: World, rng: random.Random) -> None:
    host = _pick_host(world, rng)
    await world.kill_node(host)
    await asyncio.sleep(rng.uniform(0.1, 3))
    if host.node is None:
        await world.start_node(host)


@FAULTS.register("kill_all")
async def _restart_all_nodes(world: World, rng: random.Random) -> None:
    for host in world.hosts:
        await world.kill_node(host)
    await asyncio.sleep(rng.uniform(0.3, 2))
    for host in world.hosts:
        if host.node is None:
            await world.start_node(host)


@FAULTS.register("leave")
async def _drain_node(world: World, rng: random.Random) -> None:
    host = _pick_host(world, rng)
    if host.node is None:
        return
    await host.node.leave()
    await world.kill_node(host)
    await world.start_node(host)


@FAULTS.register("freeze")
async def _freeze_host(world: World, rng: random.Random) -> None:
    host = _pick_host(world, rng)
    world.freeze(host)
    await asyncio.sleep(rng.uniform(0.5, 8))
    world.thaw(host)


@FAULTS.register("cut_store")
@_records_store_fault
async def _cut_store(world: World, rng: random.Random) -> None:
    link = _pick_host(world, rng).store_link
    link.cut = True
    await asyncio.sleep(rng.uniform(0.5, 8))
    link.cut = False


@FAULTS.register("cut_workers")
async def _cut_workers(world: World, rng: random.Random) -> None:
    links = list(_pick_host(world, rng).worker_links.values())
    links = rng.sample(links, rng.randint(1, len(links)))
    for link in links:
        link.cut = True
    await asyncio.sleep(rng.uniform(0.5, 8))
    for link in links:
        link.cut = False


@FAULTS.register("worker_cut_off")
async def _isolate_worker(world: World, rng: random.Random) -> None:
    worker = rng.choice(list(world.workers))
    for host in world.hosts:
        host.worker_links[worker].cut = True
    await asyncio.sleep(rng.uniform(0.5, 8))
    for host in world.hosts:
        host.worker_links[worker].cut = False


@FAULTS.register("store_out")
@_records_store_fault
async def _store_outage(world: World, rng: random.Random) -> None:
    failure = rng.choice(["cut", "refusing"])
    for host in world.hosts:
        setattr(host.store_link, failure, True)
    await asyncio.sleep(rng.uniform(0.5, 6))
    if rng.random() < 0.5:
        world.store.lapse_members()
    for host in world.hosts:
        setattr(host.store_link, failure, False)


@FAULTS.register("store_slow")
@_records_store_fault
async def _slow_store(world: World, rng: random.Random) -> None:
    for host in world.hosts:
        host.store_link.delay_ms = rng.uniform(50, 300)
    await asyncio.sleep(rng.uniform(1, 5))
    for host in world.hosts:
        host.store_link.delay_ms = 1.0


@FAULTS.register("store_answers")
@_records_store_fault
async def _lose_store_replies(world: World, rng: random.Random) -> None:
    for host in world.hosts:
        host.store_link.lost = 0.3
        host.store_link.late = rng.choice([0.0, 0.3])
    await asyncio.sleep(rng.uniform(1, 5))
    for host in world.hosts:
        host.store_link.lost = host.store_link.late = 0.0


@FAULTS.register("orders_late")
async def _delay_orders(world: World, rng: random.Random) -> None:
    links = [
        link for host in world.hosts for link in host.worker_links.values()
    ]
    for link in links:
        link.late = 0.2
        link.late_ms = (2000.0, 12_000.0)
    await asyncio.sleep(rng.uniform(1, 6))
    for link in links:
        link.late = 0.0


@FAULTS.register("order_answers")
async def _lose_order_replies(world: World, rng: random.Random) -> None:
    links = [
        link for host in world.hosts for link in host.worker_links.values()
    ]
    for link in links:
        link.lost = 0.3
    await asyncio.sleep(rng.uniform(1, 6))
    for link in links:
        link.lost = 0.0


@FAULTS.register("worker_reborn")
async def _restart_worker(world: World, rng: random.Random) -> None:
    worker = rng.choice(list(world.workers.values()))
    if not worker.up:
        return
    worker.crash()
    await asyncio.sleep(rng.uniform(0.05, 5))
    worker.restart()


@FAULTS.register("worker_gone")
async def _crash_worker(world: World, rng: random.Random) -> None:
    up = [worker for worker in world.workers.values() if worker.up]
    if len(up) > 3:
        rng.choice(up).crash()


@FAULTS.register("worker_leaves")
async def _drain_worker(world: World, rng: random.Random) -> None:
    up = [worker for worker in world.workers.values() if worker.up]
    if len(up) <= 3:
        return
    worker = rng.choice(up)
    worker.drain()
    entry = msgspec.msgpack.encode(worker.entry)
    world.store.write("workers", worker.entry.id, entry)
    await asyncio.sleep(rng.uniform(2, 6))
    worker.leave()


@FAULTS.register("worker_fails")
async def _fail_runs(world: World, rng: random.Random) -> None:
    worker = rng.choice(list(world.workers.values()))
    worker.failing = 1.0
    await asyncio.sleep(rng.uniform(1, 5))
    worker.failing = 0.0


@FAULTS.register("deal_anew")
async def _reassign_partitions(world: World, rng: random.Random) -> None:
    world.store.deal_anew()


@FAULTS.register("forget")
async def _drop_history(world: World, rng: random.Random) -> None:
    world.store.forget_history(rng.choice([(), ("workers",)]))


@FAULTS.register("zone_out")
async def _evacuate_zone(world: World, rng: random.Random) -> None:
    world.set_zone("zone-1", True)
    await asyncio.sleep(rng.uniform(1, 8))
    world.set_zone("zone-1", False)


@FAULTS.register("clock")
async def _shift_clock(world: World, rng: random.Random) -> None:
    host = _pick_host(world, rng)
    host.clock.jump_ms = rng.choice([-3000, 0, 3000])


def random_job(number: int, rng: random.Random) -> JobSpec:
    """Returns a random job.

    It has one to three steps, the last of them possibly a gang, or one
    long-running step. Some jobs recur.
    """
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
        occurrences, first_due_ms = 3, WORLD_BEGIN_MS + rng.uniform(0, 20_000)
    return JobSpec(
        f"{number:016x}",
        QUEUE,
        "payload",
        tuple(steps),
        occurrences=occurrences,
        first_due_ms=first_due_ms,
        interval_ms=2000.0,
    )


async def _client(world: World, number: int, rng: random.Random) -> None:
    spec = random_job(number, rng)
    await asyncio.sleep(rng.uniform(0, FAULT_PHASE_S))
    if not await world.submit(spec):
        return
    is_long_running = spec.steps[0].long_running
    if is_long_running or rng.random() < 0.15:
        await asyncio.sleep(rng.uniform(0, 20 if is_long_running else 3))
        await world.cancel(spec.id)
    for _ in range(4):
        await asyncio.sleep(rng.uniform(0.2, 6))
        await world.show(spec.id)


async def _inject_faults(world: World, rng: random.Random) -> None:
    end = asyncio.get_running_loop().time() + FAULT_PHASE_S
    names = list(FAULTS)
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(rng.expovariate(1.0))
        start_ms = world.clock.now_ms()
        world.record.troubles.append((start_ms, float("inf")))
        await FAULTS.get(rng.choice(names))(world, rng)
        world.record.troubles.remove((start_ms, float("inf")))
        world.record.troubles.append((start_ms, world.clock.now_ms()))


async def _run_schedule(seed: int) -> list[str]:
    rng = random.Random(seed)
    world = World(rng.randint(2, 5), rng.randint(4, 8), seed)
    for worker in world.workers.values():
        worker.failing = 0.03
        worker.clock_rate = rng.uniform(0.98, 1.0)
    await world.start()
    await asyncio.sleep(2)
    clients = [_client(world, n, rng) for n in range(JOB_COUNT)]
    injectors = [_inject_faults(world, rng) for _ in range(rng.randint(1, 3))]
    await asyncio.gather(*clients, *injectors)
    await asyncio.sleep(RECOVERY_S)
    for job_id in sorted(world.record.sent):
        await world.wait_for(
            job_id, ("completed", "failed", "cancelled", ""), JOB_TIMEOUT_MS
        )
    idle = world.idle_lasting()
    await world.stop()
    return violations(world.record) + idle


def run_schedule(seed: int) -> list[str]:
    """Runs one schedule and returns the violations of rules."""
    return run_virtual(_run_schedule(seed))


def main() -> int:
    """Runs a range of seeds; returns 1 if one of them violated a rule."""
    from loguru import logger

    logger.remove()
    first, last = int(sys.argv[1]), int(sys.argv[2])
    bad = 0
    for seed in range(first, last + 1):
        found = run_schedule(seed)
        if found:
            bad += 1
            print(f"seed {seed}: {len(found)}: {found[:3]}", flush=True)
    print(f"schedules={last - first + 1} broken={bad}")
    return min(bad, 1)


if __name__ == "__main__":
    sys.exit(main())
