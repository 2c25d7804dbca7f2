"""Accepted jobs are shown as failed after crashes of workers.

No run of theirs has ended `failed`, and nobody has cancelled them.
"""

import asyncio
from pathlib import Path

from deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    JobSpec,
    lasting_job,
    one_task_job,
    run,
)

# How long a crashed worker is down.
DOWN_S = 1.5

# Time between the start of the task and the crash of its worker.
RUN_BEFORE_CRASH_S = 0.2

# Crashes for the job that ends, and for the one that lasts.
CRASHES = (2, 3)
START_TIMEOUT_S = 15.0
STATE_TIMEOUT_S = 12.0
FINAL = ("completed", "failed", "cancelled")

# Other jobs, so that the deployment does usual work.
OTHER_JOBS = 14


async def script(site: Deployment, trouble: bool) -> int:
    """Crashes the workers of two tasks, one worker at a time."""
    for n in range(OTHER_JOBS):
        other = one_task_job(0xB000 + n, 3000, 2000)
        await site.ask(site.nodes[n % 3], "POST", other.id, other)
    await asyncio.sleep(1.0)
    jobs = (one_task_job(0xA000, 4000), lasting_job(0xA001))
    broken = False
    for spec, crashes in zip(jobs, CRASHES, strict=True):
        status, _ = await site.ask(site.nodes[0], "POST", spec.id, spec)
        if status != 200:
            return NOT_RUN
        await _crash_workers(site, spec, crashes if trouble else 0)
        state = await _final_state(site, spec)
        kinds = [end.end_kind for end in site.ends(spec.id)]
        site.note(f"job {spec.id} is {state}; its runs ended {kinds}")
        broken |= state == "failed" and "failed" not in kinds
    return BROKEN if broken else HELD


async def _crash_workers(site: Deployment, spec: JobSpec, crashes: int) -> None:
    """Crashes the worker of each of the first runs soon after the start."""
    workers = {worker.model.entry.id: worker for worker in site.workers}
    for number in range(1, crashes + 1):
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while len(site.starts(spec.id)) < number:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            return
        await asyncio.sleep(RUN_BEFORE_CRASH_S)
        name = site.starts(spec.id)[-1].worker
        site.note(f"worker {name} crashes, and is back after {DOWN_S} s")
        await workers[name].crash(DOWN_S)


async def _final_state(site: Deployment, spec: JobSpec) -> str:
    """Asks for a job until its state is final, or for some time."""
    until_s = site.at_s() + STATE_TIMEOUT_S
    state = ""
    while state not in FINAL and site.at_s() < until_s:
        await asyncio.sleep(1.0)
        _, answer = await site.ask(site.nodes[1], "GET", spec.id)
        state = answer.get("state", "")
    return state


if __name__ == "__main__":
    run(script, Path(__file__).parent)
