"""Scenarios for the comparison of placement policies."""

from collections.abc import Callable

from bench.workspace import ENDLESS_MS, LATENCY_CRITICAL_CORES, Workspace
from limpetyard._registry import Registry
from standins.worker_model import Faults

DURATION_S = 600
WARM_UP_S = 120
ZONE_OUT_S = 250
ZONE_BACK_S = 400

Scenario = Callable[[Workspace], None]
SCENARIOS: Registry[Scenario] = Registry("scenario")


def submit_services(workspace: Workspace) -> None:
    """Submits the latency-critical services, which run in every scenario."""
    count = workspace.shape.workers // 2
    for name in ("primary", "secondary"):
        workspace.submit(
            name, count, ENDLESS_MS, True, LATENCY_CRITICAL_CORES, "north"
        )


@SCENARIOS.register("steady")
def steady(workspace: Workspace) -> None:
    """Leaves load and workers unchanged."""


@SCENARIOS.register("load-shift")
def load_shift(workspace: Workspace) -> None:
    """Raises the latency-critical load, then the pressure of batch classes."""

    def raise_load() -> None:
        workspace.load = workspace.shape.load + 0.12

    def raise_pressure() -> None:
        workspace.rates.batch_pressure_factor = 1.4

    workspace.schedule(200, raise_load)
    workspace.schedule(320, raise_pressure)


@SCENARIOS.register("noisy-waves")
def noisy_waves(workspace: Workspace) -> None:
    """Submits bursts of large jobs of the class with the most pressure."""

    def submit_burst() -> None:
        workspace.submit("stream", workspace.shape.workers, 40_000)

    for second in (150, 270, 390, 510):
        workspace.schedule(second, submit_burst)


@SCENARIOS.register("worker-failures")
def worker_failures(workspace: Workspace) -> None:
    """Restarts workers, which lose their runs."""
    names = list(workspace.workers)
    for second in range(140, DURATION_S, 60):
        victim = workspace.workers[workspace.rng.choice(names)]
        workspace.schedule(second, victim.restart)


@SCENARIOS.register("zone-out")
def zone_out(workspace: Workspace) -> None:
    """Takes a zone out of service at short notice and brings it back."""
    workspace.schedule(ZONE_OUT_S, lambda: workspace.set_zone("zone-1", True))
    workspace.schedule(ZONE_BACK_S, lambda: workspace.set_zone("zone-1", False))


@SCENARIOS.register("flapping-zone")
def flapping_zone(workspace: Workspace) -> None:
    """Takes a zone out of service and brings it back repeatedly."""
    for number in range(8):
        is_out = number % 2 == 0
        workspace.schedule(
            ZONE_OUT_S + 15 * number,
            lambda is_out=is_out: workspace.set_zone("zone-1", is_out),
        )


@SCENARIOS.register("wrong-sizes")
def wrong_sizes(workspace: Workspace) -> None:
    """Makes declared sizes and run times wrong by a factor of up to four."""
    for worker in workspace.workers.values():
        worker.faults = Faults(
            run_factor=workspace.rng.choice([0.25, 0.5, 1.0, 2.0, 4.0]),
            true_cores={"stream": 6.0, "cache": 2.0, "plain": 16.0},
        )


@SCENARIOS.register("failing-workers")
def failing_workers(workspace: Workspace) -> None:
    """Makes two workers fail every run that they start."""
    names = list(workspace.workers)

    def fail(name: str) -> None:
        workspace.workers[name].faults = Faults(fail_everything=True)

    for name in workspace.rng.sample(names, 2):
        workspace.schedule(100, lambda name=name: fail(name))


@SCENARIOS.register("all-together")
def all_together(workspace: Workspace) -> None:
    """Combines load shift, bursts, both worker faults and the zone outage."""
    load_shift(workspace)
    noisy_waves(workspace)
    worker_failures(workspace)
    zone_out(workspace)
    failing_workers(workspace)
    job = workspace.submit("stream", 8, 200_000)
    workspace.schedule(180, lambda: workspace.cancel(job))
