"""A draining minion that is cut off while a task runs on it."""

import asyncio
import json
import os
from pathlib import Path

from site_model import Record, Site, job_id, main, now_ms, step

# One minion of eight (share 0.125) is cut off for at most 5.5 s, while it
# drains. It stays for longer than it has announced.
CUT_S = 5.5
REMAINING_MS = 6000
RUN_MS = 9000


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether no task runs twice at the same time."""
    async with Site(record, workers=8, nodes=3) as site:
        workers = {worker.id: worker for worker in site.workers}
        await asyncio.sleep(3)
        job = job_id()
        body = {
            "spec": json.dumps({"ms": RUN_MS}),
            "steps": [step(1, 2000, estimatedMs=RUN_MS)],
        }
        assert await site.submit(f"/short/{job}", body)
        await asyncio.sleep(1)
        worker = workers[site.starts[0][1]]
        await worker.drain(REMAINING_MS)
        if trouble:
            # Just before its next report to the store.
            await asyncio.sleep(1.2)
            await worker.cut_off()
            await asyncio.sleep(CUT_S)
            await worker.heal()
        await asyncio.sleep(16)
        state = await site.state(f"/short/{job}")
        intervals = []
        for at_ms, worker_id, task, run in site.starts:
            ends = [
                end[0]
                for end in site.run_ends
                if end[1:4] == (worker_id, task, run)
            ]
            intervals.append((at_ms, min(ends, default=now_ms()), worker_id))
        overlap_ms = max(
            (
                min(a[1], b[1]) - max(a[0], b[0])
                for a in intervals
                for b in intervals
                if a[2] < b[2]
            ),
            default=0.0,
        )
        record.add(f"job {job}: {state}, {len(intervals)} runs")
        record.add(f"two runs at the same time for {max(0, overlap_ms):.0f} ms")
        for node in site.nodes:
            for line in node.log().splitlines():
                if "worker_left" in line or "run_lost" in line:
                    record.add(f"log of {node.name}: {line[:250]}")
        return overlap_ms <= 0


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    main(Path(__file__).parent, case, TROUBLE)
