"""Jobs whose starts an unhealthy worker rejects are missing in `pending`."""

import asyncio
from pathlib import Path

from deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    VISIBLE_MS,
    Deployment,
    RunStarted,
    one_task_job,
    run,
)

# The bench's largest duration of `srv_grey` on ukili-yard, and the worker's
# share of all workers is 1 of 7, less than 0.15.
UNHEALTHY_S = 6.5

WAITING_JOBS = 12

# The rule counts jobs that were accepted this long before.
COUNTED_MS = VISIBLE_MS + 2000


async def script(site: Deployment, trouble: bool) -> int:
    """Fills six of seven workers; the seventh rejects starts if in trouble."""
    fillers = [
        one_task_job(0xF000 + n, 60_000, 8000)
        for n in range(len(site.workers) - 1)
    ]
    for spec in fillers:
        status, _ = await site.ask(site.nodes[0], "POST", spec.id, spec)
        if status != 200:
            return NOT_RUN
    await asyncio.sleep(1.0)
    full = {start.worker for start in site.history.of(RunStarted)}
    free = [w for w in site.workers if w.model.entry.id not in full]
    if len(free) != 1:
        return NOT_RUN
    (last,) = free
    began_s = site.at_s()
    if trouble:
        last.unhealthy = True
        site.note(f"{last.model.entry.id} rejects starts with 503 from now on")
    jobs = [one_task_job(0xA000 + n, 60_000) for n in range(WAITING_JOBS)]
    for spec in jobs:
        status, _ = await site.ask(site.nodes[0], "POST", spec.id, spec)
        if status != 200:
            return NOT_RUN
    await asyncio.sleep(COUNTED_MS / 1000 + 0.1)
    broken = False
    for node in site.nodes:
        status, answer = await site.ask(node, "GET", "")
        waiting = sum(not site.starts(spec.id) for spec in jobs)
        if status != 200:
            continue
        pending = answer["pending"]
        site.note(f"{node.name}: pending {pending}, {waiting} have not begun")
        broken |= 2 * pending < waiting
    for spec in jobs[:2]:
        await site.ask(site.nodes[0], "GET", spec.id)
    if trouble:
        site.note(f"rejected starts by job: {dict(last.rejected)}")
        if site.at_s() - began_s > UNHEALTHY_S:
            site.note("the disturbance has lasted too long")
            return NOT_RUN
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run(script, Path(__file__).parent)
