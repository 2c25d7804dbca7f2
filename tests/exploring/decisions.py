"""Records the decisions of the engine in seeded schedules and compares them.

A change that must not change behaviour makes the same decisions. To show this,
record them before it and compare after it:

    python -m tests.exploring.decisions record FILE
    python -m tests.exploring.decisions compare FILE

The second command runs the schedules of the file again; given a second file,
it compares the two instead. The exit status is 1 if a decision differs.

Decisions are the effects that the engine plans and the records that nodes
append to the store. The storms have neither advice nor best-effort tasks. The
random cells have both, and colocated loads have orders for a speed; these run
the engine without nodes.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import itertools
import random
import sys
import uuid
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from unittest import mock

import msgspec
from loguru import logger

from limpetyard._clock import MS_PER_SECOND
from limpetyard.engine import (
    DEFAULT_PACER,
    Engine,
    Pace,
    RequestAdvice,
    Start,
    Stop,
)
from limpetyard.engine._planner import Planner
from standins.colocation import ColocationModel, Pattern
from standins.platform import LinkedStoreClient
from tests.engine.test_planning_cost import RandomCell
from tests.exploring import ownership_storms, storms

# Marks the line before the decisions of a schedule.
HEADING = "# "

# What of an effect is a decision; other fields may be added to an effect.
FIELDS = {
    Start: (
        *("worker", "task", "run", "payload"),
        *("checkpoint", "ticket", "placer"),
    ),
    Stop: ("worker", "task", "run"),
    Pace: ("worker", "task", "run", "percent"),
    RequestAdvice: ("job", "occurrence", "step", "workers"),
}


def _play_cell(seed: int) -> list[str]:
    RandomCell(seed, Planner).play()
    return []


def _play_colocation(seed: int) -> list[str]:
    ColocationModel(Pattern(), DEFAULT_PACER, seed).play()
    return []


# Runs one schedule and returns the violations of rules; and the seeds.
SCHEDULES: dict[str, tuple[Callable[[int], list[str]], range]] = {
    "storms": (storms.run_schedule, range(1, 61)),
    "ownership": (ownership_storms.run_schedule, range(1, 21)),
    "cells": (_play_cell, range(48)),
    "colocation": (_play_colocation, range(1, 9)),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """The first decision that differs between two recordings of a schedule.

    Attributes:
        number: Number of equal decisions before it.
        before: The decision in the first recording, or "" if it has ended.
        after: That in the second recording.
    """

    number: int
    before: str
    after: str


def first_difference(
    before: Iterable[str], after: Iterable[str]
) -> Difference | None:
    """Returns the first difference of two recordings, or None."""
    pairs = itertools.zip_longest(before, after, fillvalue="")
    for number, (old, new) in enumerate(pairs):
        if old != new:
            return Difference(number, old, new)
    return None


@contextlib.contextmanager
def recorded_decisions(seed: int) -> Iterator[list[str]]:
    """Records the decisions that are made in the context.

    Args:
        seed: Seed of the names of nodes, which are random.

    Yields:
        A list that gets a line for each decision, which begins with the time.
    """
    decisions: list[str] = []
    names = random.Random(seed)
    plan, append = Engine.plan, LinkedStoreClient.append

    def plan_recorded(engine: Engine, now_ms: float, *args, **options):
        effects = plan(engine, now_ms, *args, **options)
        for effect in effects:
            line = f"{now_ms!r} epoch {engine.epoch} {_effect_text(effect)}"
            decisions.append(line)
        return effects

    async def append_recorded(client, topic, partition_id, records, *args):
        now_ms = asyncio.get_running_loop().time() * MS_PER_SECOND
        for record in records:
            where = f"{topic}/{partition_id} {record.key}"
            value = _value_text(record.value)
            decisions.append(f"{now_ms!r} record {where} {value}")
        return await append(client, topic, partition_id, records, *args)

    def next_uuid() -> uuid.UUID:
        return uuid.UUID(int=names.getrandbits(128), version=4)

    with (
        mock.patch.object(Engine, "plan", plan_recorded),
        mock.patch.object(LinkedStoreClient, "append", append_recorded),
        mock.patch.object(uuid, "uuid4", next_uuid),
    ):
        yield decisions


def _effect_text(effect: msgspec.Struct) -> str:
    fields = {name: getattr(effect, name) for name in FIELDS[type(effect)]}
    if "task" in fields:
        fields["task"] = effect.task.name
    text = " ".join(f"{name}={value!r}" for name, value in fields.items())
    return f"{type(effect).__name__} {text}"


def _value_text(value: bytes | None) -> str:
    """Returns the value of a record in one line, decoded if it can be."""
    if value is None:
        return "deleted"
    try:
        return repr(msgspec.msgpack.decode(value))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return repr(value)


def run_recorded(name: str, seed: int) -> list[str]:
    """Runs a schedule and returns its decisions; prints violated rules."""
    run, _ = SCHEDULES[name]
    with recorded_decisions(seed) as decisions:
        violations = run(seed)
    if violations:
        print(f"{name} {seed}: violations: {violations[:3]}", flush=True)
    return decisions


def read_recording(path: Path) -> dict[tuple[str, int], list[str]]:
    """Returns the decisions of each schedule in a file, by name and seed."""
    recording: dict[tuple[str, int], list[str]] = {}
    with path.open() as lines:
        for line in lines:
            text = line.removesuffix("\n")
            if text.startswith(HEADING):
                name, seed = text.removeprefix(HEADING).split()
                decisions = recording[name, int(seed)] = []
            else:
                decisions.append(text)
    return recording


def record(path: Path, seeds: dict[str, Iterable[int]]) -> int:
    """Runs schedules and writes their decisions to a file.

    Args:
        path: The file.
        seeds: Seeds of the schedules, by name.

    Returns:
        The exit status.
    """
    count = 0
    with path.open("w") as out:
        for name, numbers in seeds.items():
            for seed in numbers:
                decisions = run_recorded(name, seed)
                count += len(decisions)
                out.write(f"{HEADING}{name} {seed}\n")
                out.writelines(f"{line}\n" for line in decisions)
    print(f"decisions={count}")
    return 0


def compare(path: Path, other: Path | None) -> int:
    """Compares recorded decisions with another file or with this code.

    Returns:
        The exit status: 1 if a decision differs.
    """
    before = read_recording(path)
    after = None if other is None else read_recording(other)
    schedules = list(before)
    if after is not None:
        schedules += [key for key in after if key not in before]
    differing = count = 0
    for name, seed in schedules:
        old = before.get((name, seed), [])
        if after is None:
            new = run_recorded(name, seed)
        else:
            new = after.get((name, seed), [])
        count += len(old)
        difference = first_difference(old, new)
        if difference is not None:
            differing += 1
            print(f"{name} {seed}: decision {difference.number} differs")
            print(f"  before: {difference.before or 'none'}")
            print(f"  after:  {difference.after or 'none'}", flush=True)
    print(f"schedules={len(schedules)} decisions={count} differing={differing}")
    return min(differing, 1)


def main(args: list[str]) -> int:
    """Runs a command with its arguments and returns the exit status."""
    logger.remove()
    parser = argparse.ArgumentParser(prog="python -m tests.exploring.decisions")
    commands = parser.add_subparsers(dest="command", required=True)
    recorder = commands.add_parser("record")
    recorder.add_argument("file", type=Path)
    for name, (_, seeds) in SCHEDULES.items():
        recorder.add_argument(
            f"--{name}",
            nargs=2,
            type=int,
            metavar=("FIRST", "LAST"),
            default=(seeds.start, seeds.stop - 1),
            help="seeds; none if LAST is below FIRST",
        )
    comparer = commands.add_parser("compare")
    comparer.add_argument("file", type=Path)
    comparer.add_argument("other", type=Path, nargs="?")
    options = parser.parse_args(args)
    if options.command == "compare":
        return compare(options.file, options.other)
    bounds = {name: getattr(options, name) for name in SCHEDULES}
    seeds = {
        name: range(first, last + 1) for name, (first, last) in bounds.items()
    }
    return record(options.file, seeds)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
