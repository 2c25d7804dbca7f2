"""A task whose start orders only meet minions that have lost power."""

import asyncio
import json
import os
from pathlib import Path

from site_model import Record, Site, job_id, main, step

# One of seven minions (share 0.143) is dark for two seconds, then another one.
WORKERS = 7
DARK_S = 2.0
OVERLAP_S = 0.15

FINISH_S = 14


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether the job is not shown as failed without a failed run."""
    async with Site(record, workers=WORKERS, nodes=3) as site:
        workers = {worker.id: worker for worker in site.workers}
        await asyncio.sleep(2)
        # Leaves two minions with room for a task of 20 cores.
        filler = {
            "spec": json.dumps({"ms": 0}),
            "steps": [
                step(WORKERS - 2, 20_000, longRunning=True, antiAffinity=1)
            ],
        }
        assert await site.submit(f"/lasting/{job_id()}", filler)
        await asyncio.sleep(3)
        filled = {start[1] for start in site.starts}
        assert len(filled) == WORKERS - 2, filled
        body = {
            "spec": json.dumps({"ms": 800}),
            "steps": [step(1, 20_000, estimatedMs=800)],
        }
        probe = job_id()
        assert await site.submit(f"/short/{probe}", body)
        await asyncio.sleep(2)
        first = next(s[1] for s in site.starts if s[2].startswith(probe))
        (second,) = set(workers) - filled - {first}
        if trouble:
            workers[first].crash_dark()
        job = job_id()
        assert await site.submit(f"/short/{job}", body)
        if trouble:
            await asyncio.sleep(DARK_S - OVERLAP_S)
            workers[second].crash_dark()
            await asyncio.sleep(OVERLAP_S)
            await workers[first].restart()
            await asyncio.sleep(DARK_S - OVERLAP_S)
            await workers[second].restart()
        await asyncio.sleep(FINISH_S)
        state = await site.state(f"/short/{job}")
        runs = [s for s in site.starts if s[2].startswith(job)]
        failed = [e for e in site.run_ends if e[2].startswith(job)]
        failed = [end for end in failed if end[4] == "failed"]
        record.add(
            f"job {job}: {state}, {len(runs)} starts, {len(failed)} ends failed"
        )
        site.keep_logs(site.folder)
        return state != "failed" or len(failed) >= 2


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    main(Path(__file__).parent, case, TROUBLE)
