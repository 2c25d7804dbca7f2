"""A task runs on two minions after its route has got another service.

A client's repeated request arrives after the change of the configuration. Then
the minion of the task is cut off, and the owner is killed.
"""

import asyncio
import json
import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-3"))

from site3 import OTHER_SERVICE, SERVICE, Site, new_id, play  # noqa: E402

# One of eight minions of the service, a share of 0.125, is cut off.
MINIONS = 8
OTHER_MINIONS = 4
TASK_MS = 7000
CONFIGURE_AT_S = 1.0
REPEAT_AT_S = 2.0
CUT_AT_S = 2.8
CUT_FOR_S = 5.5
KILL_AT_S = 3.0


async def run(trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    async with Site(CASE, 3, MINIONS, OTHER_MINIONS) as site:
        loop = asyncio.get_running_loop()
        job = new_id()
        starts: list = []
        site.on_start = lambda minion, task, run: starts.append(minion)
        await asyncio.sleep(3)
        step = {"count": 1, "cpu": 3500, "memMb": 6400, "estimatedMs": TASK_MS}
        body = {"spec": json.dumps({"ms": TASK_MS}), "steps": [step]}
        began_s = loop.time()

        async def wait(at_s: float) -> None:
            await asyncio.sleep(began_s + at_s - loop.time())

        status, _ = await site.call("POST", job, body)
        if status != 200:
            return 2
        await wait(CONFIGURE_AT_S)
        service = SERVICE if os.environ.get("SAME") else OTHER_SERVICE
        site.configure(2, service)
        site.record.add(f"version 2: the route's service is {service}")
        await wait(REPEAT_AT_S)
        status, _ = await site.call("POST", job, body, node=1)
        if status != 200 or len(starts) != 1:
            return 2
        first = starts[0]
        if trouble and not await disturb(site, first, wait):
            return 2
        await wait(TASK_MS / 1000 + 12)
        alive = next(
            n
            for n, node in enumerate(site.nodes)
            if node.process.returncode is None
        )
        await site.call("GET", job, node=alive)
        overlaps = find_overlaps(site.record.lines, f"{job}.0.0.0")
        site.record.add(f"two runs at the same time from: {overlaps}")
        return 1 if overlaps else 0


async def disturb(site: Site, minion, wait) -> bool:
    """Returns whether the disturbance went as planned."""
    owners = [node for node in site.nodes if node.owns]
    if len(owners) != 1:
        return False
    await wait(CUT_AT_S)
    minion.is_cut = True
    site.record.add(f"{minion.id} is cut off from all nodes, and runs on")
    await wait(KILL_AT_S)
    await owners[0].end()
    site.record.add(f"{owners[0].name}, the owner, is killed")
    await wait(CUT_AT_S + CUT_FOR_S)
    minion.is_cut = False
    site.record.add(f"{minion.id} is reached again")
    return True


def find_overlaps(lines: list[str], task: str) -> list[float]:
    """Returns when a run of a task started while another one was there."""
    running: set[str] = set()
    overlaps: list[float] = []
    for line in lines:
        at_s, _, text = line.strip().partition(" ")
        if f"{task} run " not in text:
            continue
        minion = text.split(":")[0].strip()
        if text.endswith(" starts"):
            if running:
                overlaps.append(float(at_s))
            running.add(minion)
        elif " ends " in text:
            running.discard(minion)
    return overlaps


if __name__ == "__main__":
    play(run)
