"""Waits for the end of jobs, and notes which of them have no room."""

import collections
from typing import TYPE_CHECKING

from limpetyard.jobs import FINAL_STATES, JobSpec
from standins.platform._checks import acknowledged_done
from standins.platform._history import JobCancelled, RunEnded

if TYPE_CHECKING:
    from standins.platform._site import SimulatedSite

SAMPLE_INTERVAL_MS = 500


async def wait_for_end(
    site: "SimulatedSite", spec: JobSpec, timeout_ms: float
) -> None:
    """Waits until a job without long-running tasks has ended or is unknown.

    Adds the job to `History.without_room` if it does not end and no sample
    shows room for a task that is to run.
    """
    end_ms = site.clock.now_ms() + timeout_ms
    had_room = False
    while site.clock.now_ms() < end_ms:
        had_room = had_room or has_room(site, spec)
        state = await site.wait_for(
            spec.id, (*FINAL_STATES, ""), SAMPLE_INTERVAL_MS
        )
        if state == "" or state in FINAL_STATES:
            return
    if not had_room:
        site.history.without_room.add(spec.id)


def has_room(site: "SimulatedSite", spec: JobSpec) -> bool:
    """Returns whether a task of a job may run beside the long-running tasks.

    Runs of other tasks are not counted, as they end, nor are those of cancelled
    jobs. A task that is done may run again until its end is acknowledged. All
    members of a gang must have room. Also returns True if no task is left.
    """
    cancelled = {entry.job for entry in site.history.of(JobCancelled)}
    done = _count_steps(
        end.task for end in site.history.of(RunEnded) if end.end_kind == "done"
    )
    acknowledged = _count_steps(acknowledged_done(site.history))
    is_finished = True
    for occurrence in range(spec.occurrences):
        for number, step in enumerate(spec.steps):
            if acknowledged[spec.id, occurrence, number] == step.count:
                continue
            is_finished = False
            if any(
                done[spec.id, occurrence, earlier] < spec.steps[earlier].count
                for earlier in step.after
            ):
                continue
            room = sum(
                worker.room_beside_long_running(spec, number, cancelled)
                for worker in site.workers.values()
            )
            if room >= (step.count if step.gang else 1):
                return True
    return is_finished


def _count_steps(tasks) -> collections.Counter:
    """Returns how many different tasks there are of each step."""
    return collections.Counter(task[:3] for task in set(tasks))
