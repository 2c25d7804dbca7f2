"""An unreadable entry of another writer in the workers' directory."""

import asyncio
import json
import os
from pathlib import Path

from site_model import Record, Site, job_id, main, now_ms, step

# An entry whose `born` is a 128-bit id of the incarnation, not its Unix
FOREIGN_ENTRY = {
    "service": "other",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "state": "ready",
    "capacity": {"cpu": 1000, "memMb": 1000, "gpus": 0},
    "labels": ["a", "r-other"],
    "born": 0x5F0C2A917B3D4E8891A6C4D2E0F31B57,
    "seq": 1,
}

# Seconds after which a task whose turn has come must run, from RULES.md (LOST),
# and the time that jobs have until they are asked for (`finish_s`).
START_S = 3
FINISH_S = 14


async def case(record: Record, trouble: bool) -> bool:
    """Submits jobs before and after the entry; returns whether all are done."""
    async with Site(record, workers=8, nodes=3) as site:
        early, late = job_id(), job_id()
        body = {"spec": json.dumps({"ms": 500}), "steps": [step(count=2)]}
        assert await site.submit(f"/short/{early}", body)
        await asyncio.sleep(4)
        assert await site.state(f"/short/{early}") == "completed"
        if trouble:
            record.add("another writer puts servers/other-1")
            site.store.put(
                "keyed.servers", "other-1", json.dumps(FOREIGN_ENTRY).encode()
            )
        await asyncio.sleep(4)
        accepted = await site.submit(f"/short/{late}", body)
        accepted_ms = now_ms()
        record.add(f"job {late} was accepted: {accepted}")
        await asyncio.sleep(FINISH_S)
        state = await site.state(f"/short/{late}")
        runs = [s for s in site.starts if s[2].startswith(late)]
        record.add(f"{FINISH_S} s later: state {state}, {len(runs)} starts")
        site.keep_logs(site.folder)
        in_time = [s for s in runs if s[0] - accepted_ms <= START_S * 1000]
        return accepted and state == "completed" and len(in_time) >= 2


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    main(Path(__file__).parent, case, TROUBLE)
