"""A job runs on and on after its cancelling was acknowledged with 200.

The store does not answer the node that owns the cell, so it can tell no other
node of jobs, and it goes on trying to store a job whose client has left and has
cancelled it elsewhere.
"""

import asyncio
from pathlib import Path

from deployment import (
    BROKEN,
    CANCEL_MS,
    CONTACT_MS,
    HELD,
    NOT_RUN,
    Deployment,
    one_task_job,
    run,
)

# The store does not answer one of three nodes for this long.
TURNED_AWAY_S = 4.0

# The client leaves this long after it has sent the job.
LEAVE_MS = 500

STEPS, STEP_MS = 3, 3000


async def script(site: Deployment, trouble: bool) -> int:
    """Submits a job to a node that the store does not answer; cancels it."""
    cut, (other, _) = site.split_nodes()
    spec = one_task_job(0xA000, STEP_MS, steps=STEPS)
    began_s = site.at_s()
    if trouble:
        cut.store.silent = True
        site.note(f"the store does not answer {cut.name} from now on")
    status, _ = await site.ask(cut, "POST", spec.id, spec, LEAVE_MS)
    if trouble and status:
        return NOT_RUN
    status, _ = await site.ask(other, "DELETE", spec.id)
    if status not in (200, 410):
        return NOT_RUN
    cancelled_s = site.at_s()
    site.note("the cancelling is acknowledged")
    await asyncio.sleep(max(0.0, began_s + TURNED_AWAY_S - site.at_s()))
    # The calls that it has not answered so far are never executed.
    cut.store.silent = False
    if trouble:
        site.note(f"the store serves {cut.name} again")
    served_s = site.at_s()
    await asyncio.sleep((STEPS * STEP_MS + 4000) / 1000)
    late_s = max(cancelled_s + CANCEL_MS / 1000, served_s + CONTACT_MS / 1000)
    starts = [site.at_s(start.at_ms) for start in site.starts(spec.id)]
    late = [at_s for at_s in starts if at_s > late_s]
    site.note(f"starts at {starts}; none is allowed after {late_s:.3f} s")
    await site.ask(other, "GET", spec.id)
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(script, Path(__file__).parent)
