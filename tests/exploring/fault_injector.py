"""Random faults, jobs and operator commands of a simulated schedule."""

import msgspec

from limpetyard.config import (
    CONFIG_STREAM,
)
from standins.worker_model import (
    Faults,
    WorkerModel,
    noisy_interference,
)
from tests.exploring.daemon import SimulatedDaemon
from tests.exploring.simulation import CELL, Simulation


class FaultInjector:
    """Injects one random fault or command after another.

    Repeated entries of `_faults` are drawn more often. Its order and length
    determine what a seed draws.
    """

    def __init__(self, sim: Simulation):
        self._sim = sim
        self._faults = (
            self._pause_daemon,
            self._restart_daemon,
            self._cut_link,
            self._log_outage,
            self._trim_log,
            self._restart_worker,
            self._fail_runs,
            self._change_run_times,
            self._replace_worker,
            self._submit,
            self._submit,
            self._submit,
            self._cancel,
            self._set_zone,
            self._set_zone,
            self._flap_zone,
            self._isolate_daemon,
            self._disturb_messages,
        )

    def inject_next(self) -> None:
        """Injects one fault or command and schedules the next."""
        sim = self._sim
        if not sim.faults_enabled:
            return
        sim.rng.choice(self._faults)()
        sim.schedule(sim.rng.uniform(200, 4000), self.inject_next)

    def _pick_daemon(self) -> SimulatedDaemon:
        """Returns the owner half of the time, if any, otherwise any daemon."""
        sim = self._sim
        owners = [d for d in sim.daemons if d.controller.ownership.is_owner]
        if owners and sim.rng.random() < 0.5:
            return sim.rng.choice(owners)
        return sim.rng.choice(sim.daemons)

    def _pick_worker(self) -> WorkerModel:
        return self._sim.rng.choice(list(self._sim.workers.values()))

    def _pause_daemon(self) -> None:
        self._pick_daemon().pause(self._sim.rng.uniform(500, 20_000))

    def _restart_daemon(self) -> None:
        daemon = self._pick_daemon()
        if not daemon.alive:
            return
        daemon.kill()
        self._sim.schedule(self._sim.rng.uniform(100, 10_000), daemon.start)

    def _cut_link(self) -> None:
        sim = self._sim
        other = sim.rng.choice(["log", *sim.workers])
        pair = (self._pick_daemon().name, other)
        sim.cut_links.add(pair)
        sim.schedule(
            sim.rng.uniform(1000, 25_000), lambda: sim.cut_links.discard(pair)
        )

    def _log_outage(self) -> None:
        sim = self._sim
        sim.log_down = True

        def end() -> None:
            sim.log_down = False

        sim.schedule(sim.rng.uniform(500, 20_000), end)

    def _trim_log(self) -> None:
        sim = self._sim
        for stream, keep in ((CELL, 60), (CONFIG_STREAM, 8)):
            sim.log.trim(stream, max(keep, self._needed_records(stream)))

    def _needed_records(self, stream: str) -> int:
        """Returns how many of the newest records a new reader needs.

        It needs all records after the newest snapshot that leaves no gap to the
        first record that is kept.
        """
        kept = self._sim.log.read(stream, 0, 0)
        records = self._sim.log.archive[stream][kept.first :]
        snapshots = [
            msgspec.json.decode(r.data)["as_of"]
            for r in records
            if '"type":"snapshot"' in r.data
        ]
        usable = [as_of for as_of in snapshots if as_of + 1 >= kept.first]
        return kept.end - 1 - max(usable, default=kept.first - 1)

    def _restart_worker(self) -> None:
        self._pick_worker().restart()

    def _fail_runs(self) -> None:
        model = self._pick_worker()
        model.faults = Faults(fail_everything=True)
        self._schedule_recovery(model)

    def _change_run_times(self) -> None:
        model = self._pick_worker()
        model.faults = Faults(run_factor=self._sim.rng.uniform(0.3, 4))
        self._schedule_recovery(model)

    def _schedule_recovery(self, model: WorkerModel) -> None:
        def recover() -> None:
            model.faults = Faults()

        self._sim.schedule(self._sim.rng.uniform(1000, 15_000), recover)

    def _replace_worker(self) -> None:
        """Removes a worker for good and adds a new one."""
        sim = self._sim
        model = self._pick_worker()
        if len(sim.workers) > 8:
            return
        model.restart()
        sim.gone_workers.add(model.id)
        name = f"w{len(sim.workers)}"
        sim.workers[name] = WorkerModel(
            name, model.zone, model.size, sim.clock, noisy_interference
        )

    def _submit(self) -> None:
        rng = self._sim.rng
        self._sim.submit(
            rng.randint(1, 8),
            rng.choice([0.5, 1.0, 3.0, 5.0]),
            rng.randint(300, 12_000),
        )

    def _cancel(self) -> None:
        sim = self._sim
        if sim.jobs and sim.rng.random() < 0.5:
            sim.cancel(sim.rng.choice(sim.jobs))

    def _flap_zone(self) -> None:
        """Takes a zone out of service and back several times."""
        sim = self._sim
        zone = f"zone-{sim.rng.randrange(3)}"
        for number in range(6):
            sim.schedule(
                number * sim.rng.uniform(100, 2500),
                lambda out=number % 2 == 0: sim.set_zone(zone, out),
            )

    def _isolate_daemon(self) -> None:
        """Cuts a daemon off from the log and a worker off from the others.

        The daemon is often, but not always, the owner of the cell.
        """
        sim = self._sim
        daemon = self._pick_daemon()
        pairs = {(daemon.name, "log")}
        worker = self._pick_worker().id
        pairs |= {(d.name, worker) for d in sim.daemons if d is not daemon}
        sim.cut_links |= pairs

        def reconnect() -> None:
            sim.cut_links.difference_update(pairs)

        sim.schedule(sim.rng.uniform(8000, 30_000), reconnect)

    def _disturb_messages(self) -> None:
        """Delays and duplicates messages for 5 s.

        Meanwhile jobs are submitted, a worker restarts and a job may be
        cancelled.
        """
        sim = self._sim
        sim.messages_disturbed = True
        for _ in range(4):
            sim.schedule(sim.rng.uniform(0, 4000), self._submit_short_job)
        sim.schedule(sim.rng.uniform(0, 4000), self._restart_worker)
        sim.schedule(sim.rng.uniform(0, 4000), self._cancel)

        def end() -> None:
            sim.messages_disturbed = False

        sim.schedule(5000, end)

    def _submit_short_job(self) -> None:
        self._sim.submit(6, 0.5, self._sim.rng.randint(100, 900))

    def _set_zone(self) -> None:
        sim = self._sim
        zone = f"zone-{sim.rng.randrange(3)}"
        sim.set_zone(zone, sim.rng.random() < 0.6)
