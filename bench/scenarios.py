"""The scenarios that decisions are judged in."""

from collections.abc import Callable

from bench.workspace import ENDLESS_MS, URGENT_CORES, Workspace
from limpetyard._registry import Registry
from standins.worker_model import Faults

DURATION_S = 600
WARM_UP_S = 120
OUT_S = 250
BACK_S = 400

Scenario = Callable[[Workspace], None]
SCENARIOS: Registry[Scenario] = Registry("scenario")


def begin(space: Workspace) -> None:
    """Submits the latency-critical services; every scenario has them."""
    count = space.user.workers // 2
    for name in ("primary", "secondary"):
        space.submit(name, count, ENDLESS_MS, True, URGENT_CORES, "north")


@SCENARIOS.register("steady")
def steady(space: Workspace) -> None:
    """Nothing changes."""


@SCENARIOS.register("load-shift")
def load_shift(space: Workspace) -> None:
    """Urgent load rises for the dawn, and batch classes grow louder."""

    def dawn() -> None:
        space.load = space.user.load + 0.12

    def louder() -> None:
        space.rates.noise = 1.4

    space.at(200, dawn)
    space.at(320, louder)


@SCENARIOS.register("noisy-waves")
def noisy_waves(space: Workspace) -> None:
    """Large jobs of the loudest class arrive at once."""

    def wave() -> None:
        space.submit("stream", space.user.workers, 40_000)

    for second in (150, 270, 390, 510):
        space.at(second, wave)


@SCENARIOS.register("worker-failures")
def worker_failures(space: Workspace) -> None:
    """Workers restart and lose what they ran."""
    names = list(space.workers)
    for second in range(140, DURATION_S, 60):
        victim = space.workers[space.rng.choice(names)]
        space.at(second, victim.restart)


@SCENARIOS.register("zone-out")
def zone_out(space: Workspace) -> None:
    """A zone leaves at short notice and comes back."""
    space.at(OUT_S, lambda: space.set_zone("zone-1", True))
    space.at(BACK_S, lambda: space.set_zone("zone-1", False))


@SCENARIOS.register("flapping-zone")
def flapping_zone(space: Workspace) -> None:
    """A zone leaves and comes back again and again."""
    for number in range(8):
        out = number % 2 == 0
        space.at(
            OUT_S + 15 * number, lambda out=out: space.set_zone("zone-1", out)
        )


@SCENARIOS.register("wrong-sizes")
def wrong_sizes(space: Workspace) -> None:
    """Declared sizes and run times are wrong by up to four times."""
    for worker in space.workers.values():
        worker.faults = Faults(
            run_factor=space.rng.choice([0.25, 0.5, 1.0, 2.0, 4.0]),
            true_cores={"stream": 6.0, "cache": 2.0, "plain": 16.0},
        )


@SCENARIOS.register("failing-workers")
def failing_workers(space: Workspace) -> None:
    """Two workers fail everything that they start."""
    names = list(space.workers)

    def fail(name: str) -> None:
        space.workers[name].faults = Faults(fail_everything=True)

    for name in space.rng.sample(names, 2):
        space.at(100, lambda name=name: fail(name))


@SCENARIOS.register("all-together")
def all_together(space: Workspace) -> None:
    """Shift, waves, failures, a zone out and failing workers."""
    load_shift(space)
    noisy_waves(space)
    worker_failures(space)
    zone_out(space)
    failing_workers(space)
    job = space.submit("stream", 8, 200_000)
    space.at(180, lambda: space.cancel(job))
