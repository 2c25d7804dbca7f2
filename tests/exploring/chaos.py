"""Faults and acts that a schedule draws from its seed."""

import msgspec

from limpetyard.config import (
    CONFIG_STREAM,
)
from standins.worker_model import (
    Faults,
    WorkerModel,
    noisy_interference,
)
from tests.exploring.daemon import Node
from tests.exploring.simulation import CELL, World


class Chaos:
    """Draws faults one after another from the world's seed."""

    def __init__(self, world: World):
        self._world = world
        self._acts = (
            self._pause,
            self._kill,
            self._cut,
            self._log_outage,
            self._trim,
            self._restart_worker,
            self._fail_worker,
            self._lie,
            self._worker_gone,
            self._submit,
            self._submit,
            self._submit,
            self._cancel,
            self._zone,
            self._zone,
            self._flap,
            self._split,
            self._storm,
        )

    def next(self) -> None:
        """Brings one fault or act about and plans the next."""
        world = self._world
        if not world.chaos:
            return
        world.rng.choice(self._acts)()
        world.later(world.rng.uniform(200, 4000), self.next)

    def _node(self) -> Node:
        """Returns a daemon, the owner half of the time."""
        world = self._world
        owners = [n for n in world.nodes if n.controller.ownership.is_owner]
        if owners and world.rng.random() < 0.5:
            return world.rng.choice(owners)
        return world.rng.choice(world.nodes)

    def _worker(self) -> WorkerModel:
        return self._world.rng.choice(list(self._world.workers.values()))

    def _pause(self) -> None:
        self._node().pause(self._world.rng.uniform(500, 20_000))

    def _kill(self) -> None:
        node = self._node()
        if not node.alive:
            return
        node.kill()
        self._world.later(self._world.rng.uniform(100, 10_000), node.start)

    def _cut(self) -> None:
        world = self._world
        other = world.rng.choice(["log", *world.workers])
        pair = (self._node().name, other)
        world.cut.add(pair)
        world.later(
            world.rng.uniform(1000, 25_000), lambda: world.cut.discard(pair)
        )

    def _log_outage(self) -> None:
        world = self._world
        world.log_down = True

        def end() -> None:
            world.log_down = False

        world.later(world.rng.uniform(500, 20_000), end)

    def _trim(self) -> None:
        world = self._world
        for stream, keep in ((CELL, 60), (CONFIG_STREAM, 8)):
            world.log.trim(stream, max(keep, self._needed(stream)))

    def _needed(self, stream: str) -> int:
        """Returns how many records a newcomer needs."""
        kept = self._world.log.read(stream, 0, 0)
        records = self._world.log.archive[stream][kept.first :]
        snapshots = [
            msgspec.json.decode(r.data)["as_of"]
            for r in records
            if '"type":"snapshot"' in r.data
        ]
        usable = [as_of for as_of in snapshots if as_of + 1 >= kept.first]
        return kept.end - 1 - max(usable, default=kept.first - 1)

    def _restart_worker(self) -> None:
        self._worker().restart()

    def _fail_worker(self) -> None:
        model = self._worker()
        model.faults = Faults(fail_everything=True)
        self._later_sound(model)

    def _lie(self) -> None:
        model = self._worker()
        model.faults = Faults(run_factor=self._world.rng.uniform(0.3, 4))
        self._later_sound(model)

    def _later_sound(self, model: WorkerModel) -> None:
        def sound() -> None:
            model.faults = Faults()

        self._world.later(self._world.rng.uniform(1000, 15_000), sound)

    def _worker_gone(self) -> None:
        """Ends a worker for good; another takes its place."""
        world = self._world
        model = self._worker()
        if len(world.workers) > 8:
            return
        model.restart()
        world.gone.add(model.id)
        name = f"w{len(world.workers)}"
        world.workers[name] = WorkerModel(
            name, model.zone, model.size, world.clock, noisy_interference
        )

    def _submit(self) -> None:
        rng = self._world.rng
        self._world.submit(
            rng.randint(1, 8),
            rng.choice([0.5, 1.0, 3.0, 5.0]),
            rng.randint(300, 12_000),
        )

    def _cancel(self) -> None:
        world = self._world
        if world.jobs and world.rng.random() < 0.5:
            world.cancel(world.rng.choice(world.jobs))

    def _flap(self) -> None:
        """Takes a zone out and in again several times."""
        world = self._world
        zone = f"zone-{world.rng.randrange(3)}"
        for number in range(6):
            world.later(
                number * world.rng.uniform(100, 2500),
                lambda out=number % 2 == 0: world.set_zone(zone, out),
            )

    def _split(self) -> None:
        """Leaves a worker to an owner that has lost the log."""
        world = self._world
        owner = self._node()
        pairs = {(owner.name, "log")}
        worker = self._worker().id
        pairs |= {(n.name, worker) for n in world.nodes if n is not owner}
        world.cut |= pairs

        def heal() -> None:
            world.cut.difference_update(pairs)

        world.later(world.rng.uniform(8000, 30_000), heal)

    def _storm(self) -> None:
        """Delays and repeats messages while work comes and goes."""
        world = self._world
        world.storm = True
        for _ in range(4):
            world.later(world.rng.uniform(0, 4000), self._short_job)
        world.later(world.rng.uniform(0, 4000), self._restart_worker)
        world.later(world.rng.uniform(0, 4000), self._cancel)

        def end() -> None:
            world.storm = False

        world.later(5000, end)

    def _short_job(self) -> None:
        self._world.submit(6, 0.5, self._world.rng.randint(100, 900))

    def _zone(self) -> None:
        world = self._world
        zone = f"zone-{world.rng.randrange(3)}"
        world.set_zone(zone, world.rng.random() < 0.6)
