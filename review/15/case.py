"""An accepted job stands still for long though nearly all workers are idle.

As review/9, but the owner is killed 0.2 s after the starts: before it has
stored that they were answered. A worker is cut off from the nodes, and the
owner is killed. Then the worker restarts behind the cut under its id, and is
lost for good.
"""

import asyncio
from pathlib import Path

from deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    JobSpec,
    Worker,
    lasting_job,
    one_task_job,
    run,
)

# Bounds of the rule.
FINISH_S = 14.0
WAIT_S = 3.0
CALM_BEFORE_S = 4.0
LASTING_AFTER_S = 6.0

# After the beginning of the cut: the kill of the owner, its next start, the
# worker's restart, and its loss.
KILL_S = 0.15
START_S = 1.5
RESTART_S = 3.0
LOST_S = 4.5

JOBS = 10
STEP_MS = 3000


async def script(site: Deployment, trouble: bool) -> int:
    """Loses an owner and a worker; looks when the jobs go on."""
    lasting = lasting_job(0xA000)
    status, _ = await site.ask(site.nodes[0], "POST", lasting.id, lasting)
    await asyncio.sleep(1.5)
    jobs = [one_task_job(0xB000 + n, STEP_MS, steps=2) for n in range(JOBS)]
    for spec in jobs:
        status, _ = await site.ask(site.nodes[0], "POST", spec.id, spec)
        if status != 200:
            return NOT_RUN
    end_s = site.at_s()
    await asyncio.sleep(0.05)
    name = site.starts(lasting.id)[-1].worker
    (worker,) = (w for w in site.workers if w.model.entry.id == name)
    lost_s = site.at_s()
    if trouble:
        await _disturb(site, worker)
    calm_s = site.at_s()
    until_s = end_s + FINISH_S + WAIT_S + 12.0
    await asyncio.sleep(until_s - site.at_s())
    broken = False
    idle_from_s = max(lost_s + LASTING_AFTER_S, calm_s + CALM_BEFORE_S)
    if trouble:
        again_s = _next_start_s(site, lasting, lost_s)
        site.note(
            f"the job that lasts runs again at {again_s:.3f} s, must by "
            f"{idle_from_s + WAIT_S:.3f} s"
        )
        broken |= again_s > idle_from_s + WAIT_S
    late = []
    for spec in jobs:
        ends = [e for e in site.ends(spec.id) if e.end_kind == "done"]
        done_s = site.at_s(ends[-1].at_ms) if len(ends) == 2 else until_s
        first_s = site.at_s(ends[0].at_ms) if ends else until_s
        next_s = _next_start_s(site, spec, first_s)
        if next_s > end_s + FINISH_S + WAIT_S > first_s + WAIT_S:
            late.append(spec.id)
        site.note(
            f"job {spec.id}: first step done at {first_s:.3f} s, the next "
            f"start is at {next_s:.3f} s, done at {done_s:.3f} s"
        )
    site.note(
        f"{len(late)} of {len(jobs)} jobs have nothing running from "
        f"{end_s + FINISH_S:.3f} s to {end_s + FINISH_S + WAIT_S:.3f} s"
    )
    return BROKEN if broken or late else HELD


async def _disturb(site: Deployment, worker: Worker) -> None:
    owner, _ = site.split_nodes()
    began_s = site.at_s()

    async def wait(offset_s: float) -> None:
        await asyncio.sleep(began_s + offset_s - site.at_s())

    name = worker.model.entry.id
    worker.listener.silent = True
    site.note(f"worker {name} is cut off from all nodes, not from the store")
    await wait(KILL_S)
    owner.end()
    site.note(f"{owner.name}, the owner, is killed")
    await wait(START_S)
    owner.start()
    site.note(f"{owner.name} starts again")
    await wait(RESTART_S)
    worker.restart()
    site.write_entry(worker)
    site.note(f"worker {name} has restarted behind the cut, under its id")
    await wait(LOST_S)
    await worker.lose()
    site.note(f"worker {name} is lost for good")


def _next_start_s(site: Deployment, spec: JobSpec, after_s: float) -> float:
    """Returns the time of the next start of a job; infinite without one."""
    times = [site.at_s(start.at_ms) for start in site.starts(spec.id)]
    return min((t for t in times if t > after_s), default=float("inf"))


if __name__ == "__main__":
    run(script, Path(__file__).parent)
