"""Runs platform stand-ins and daemons as processes on loopback."""

import asyncio
import contextlib
import functools
import os
import signal
import subprocess
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import aiohttp
import msgspec

from limpetyard.cell import ResourceVector
from limpetyard.fleet import Vm, VmRole
from standins import process_state
from standins.ports import PortRange
from standins.target import TargetRecord
from standins.worker import WorkerSpec
from standins.worker_model import WorkerEvent

ADMIN_TOKEN = "bench-token"
ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20
WORKER_SIZE = ResourceVector(32.0, 128_000)


@functools.cache
def _port_range() -> PortRange:
    return PortRange()


def free_port() -> int:
    """Returns a port of this process's range; see `PortRange.free_port`."""
    return _port_range().free_port()


class Process:
    """A child process that runs Python with the given arguments.

    Attributes:
        url: Base URL of its HTTP server.
    """

    def __init__(
        self,
        arguments: list[str],
        url: str,
        output: Path,
        more_ports: Sequence[int] = (),
    ):
        """Starts the process.

        Args:
            arguments: Arguments of the interpreter.
            url: Base URL of its HTTP server.
            output: File that its output is appended to.
            more_ports: Ports that it was given besides that of `url`.
        """
        self.url = url
        self._ports = (int(url.rpartition(":")[2]), *more_ports)
        self._path = output
        self._output = output.open("ab")
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdout=self._output,
            stderr=self._output,
            start_new_session=True,
        )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    def describe(self) -> str:
        """Describes its state, its ports and its last lines of output."""
        return process_state.describe(
            self._path.stem,
            self.pid,
            self._popen.poll(),
            self._ports,
            self._path,
        )

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to the process if it still runs."""
        if self._popen.poll() is None:
            self._popen.send_signal(signum)

    def terminate(self, timeout_s: float = 10.0) -> int:
        """Terminates the process and returns its exit status.

        A process that SIGSTOP has paused is continued first. SIGKILL follows
        SIGTERM after the time-out.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._popen.wait()
        finally:
            self._output.close()

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        self._popen.wait()

    def memory_kb(self) -> int:
        """Returns the resident set size in KiB."""
        text = Path(f"/proc/{self.pid}/status").read_text()
        line = next(x for x in text.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1])

    def cpu_s(self) -> float:
        """Returns the CPU time used so far in seconds, user and system."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")")[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


class Site:
    """A small platform with daemons, as an async context manager.

    Attributes:
        log: Process of the log.
        vms: Process of the VM list.
        daemons: Process of each daemon, by node.
        admin: Base URL of each daemon's administration API, by node.
        output: Directory of the processes' output.
        zones: Names of the availability zones.
        targets: Process of each target, by id.
        workers: Process that runs each worker, by id.
        http: HTTP client for all calls.
    """

    def __init__(self, output: Path, zones: int = 3):
        self.output = output
        self.zones = [f"zone-{n}" for n in range(zones)]
        self.daemons: dict[str, Process] = {}
        self.admin: dict[str, str] = {}
        self.targets: dict[str, Process] = {}
        self.workers: dict[str, Process] = {}
        self.http: aiohttp.ClientSession | None = None
        self._processes: list[Process] = []
        self._vms: dict[str, Vm] = {}
        self._daemon_arguments: dict[str, list[str]] = {}
        self._daemon_ports: dict[str, tuple[int, ...]] = {}

    async def __aenter__(self) -> "Site":
        self.output.mkdir(parents=True, exist_ok=True)
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.log = self._start_standin("log", ["-m", "standins.log"])
        self.vms = self._start_standin("vms", ["-m", "standins.vms"])
        try:
            await self._wait_until_up(
                f"{self.log.url}/record", f"{self.vms.url}/vms"
            )
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stop()

    async def _stop(self) -> None:
        await self.http.close()
        for process in reversed(self._processes):
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in reversed(self._processes):
            process.terminate()

    async def add_targets(self, count: int, service: str) -> None:
        """Starts targets of a service, spread over the availability zones."""
        for number in range(count):
            vm_id = f"target-{number}"
            process = self._start_standin(
                vm_id, ["-m", "standins.target", "--slots", "8"]
            )
            self.targets[vm_id] = process
            self._add_vm(
                Vm(
                    vm_id,
                    VmRole.TARGET,
                    self._zone(number),
                    process.url,
                    service=service,
                )
            )
        await self._wait_until_up(
            *(f"{t.url}/_record" for t in self.targets.values())
        )
        await self.publish_vms()

    async def add_workers(
        self, count: int, processes: int = 1, size: ResourceVector = WORKER_SIZE
    ) -> None:
        """Starts workers, spread over the zones and the given processes."""
        specs = [
            WorkerSpec(f"worker-{n}", self._zone(n), size) for n in range(count)
        ]
        for part in range(processes):
            part_specs = specs[part::processes]
            text = msgspec.json.encode(part_specs).decode()
            process = self._start_standin(
                f"workers-{part}",
                ["-m", "standins.worker", "--workers", text],
            )
            for worker in part_specs:
                self.workers[worker.id] = process
                self._add_vm(
                    Vm(
                        worker.id,
                        VmRole.WORKER,
                        worker.zone,
                        f"{process.url}/w/{worker.id}",
                        rack=f"{worker.zone}-rack-0",
                        size=worker.size,
                    )
                )
        await self._wait_until_up(
            *(f"{p.url}/record" for p in self.workers.values())
        )
        await self.publish_vms()

    async def add_daemons(self, count: int, *flags: str) -> None:
        """Starts daemons, which discover each other through the VM list.

        Args:
            count: Number of daemons.
            *flags: Further command-line flags of each daemon.
        """
        for number in range(count):
            node = f"entry-{number}"
            self._daemon_ports[node] = peer_port, admin_port = (
                free_port(),
                free_port(),
            )
            peer = f"127.0.0.1:{peer_port}"
            self._add_vm(Vm(node, VmRole.ENTRY, self._zone(number), peer))
            admin = f"127.0.0.1:{admin_port}"
            self.admin[node] = f"http://{admin}"
            self._daemon_arguments[node] = [
                "-m",
                "limpetyard.daemon",
                f"--node={node}",
                f"--availability-zone={self._zone(number)}",
                f"--admin-listen={admin}",
                f"--peer-listen={peer}",
                f"--log-url={self.log.url}",
                f"--vms-url={self.vms.url}",
                f"--admin-token={ADMIN_TOKEN}",
                *flags,
            ]
        await self.publish_vms()
        for node in list(self._daemon_arguments):
            if node not in self.daemons:
                self.start_daemon(node)

    def start_daemon(self, node: str) -> None:
        """Starts or restarts a daemon, with a new listening port."""
        port = free_port()
        arguments = [
            *self._daemon_arguments[node],
            f"--listen=127.0.0.1:{port}",
        ]
        url = f"http://127.0.0.1:{port}"
        self.daemons[node] = self._start_process(
            node, arguments, url, self._daemon_ports[node]
        )

    async def wait_ready(self, *nodes: str) -> None:
        """Waits until daemons pass the readiness check.

        Args:
            *nodes: Nodes of the daemons; all daemons by default.

        Raises:
            TimeoutError: After `START_TIMEOUT_S` for one daemon.
        """
        for node in nodes or tuple(self.daemons):
            await self._wait_until_up(f"{self.daemons[node].url}/health/ready")

    @contextlib.contextmanager
    def described(self) -> Iterator[None]:
        """Adds the state of all processes to errors of calls in the context.

        These are calls that are refused, or that get no answer in time.
        """
        try:
            yield
        except (OSError, aiohttp.ClientError) as exc:
            if not hasattr(exc, "__notes__"):
                exc.add_note(self.describe())
            raise

    def describe(self) -> str:
        """Describes all processes that were started."""
        return "\n".join(process.describe() for process in self._processes)

    async def publish_vms(self) -> None:
        """Publishes all VMs in the VM list."""
        body = msgspec.json.encode(list(self._vms.values()))
        with self.described():
            await self.http.put(f"{self.vms.url}/vms", data=body)

    async def set_vm_state(self, vm_id: str, state: str) -> None:
        """Sets the state of one VM in the VM list."""
        with self.described():
            await self.http.post(f"{self.vms.url}/state/{vm_id}/{state}")

    async def set_faults(self, url: str, **switches: object) -> None:
        """Sets the fault switches of a stand-in; all others are reset.

        Args:
            url: URL of its switch endpoint.
            **switches: Values of the switches, by name.
        """
        with self.described():
            resp = await self.http.post(url, json=switches)
        resp.raise_for_status()

    async def set_log_faults(self, **switches: object) -> None:
        """Sets the fault switches of the log; all others are reset."""
        await self.set_faults(f"{self.log.url}/switch", **switches)

    async def set_target_faults(self, vm_id: str, **switches: object) -> None:
        """Sets the fault switches of a target; all others are reset."""
        await self.set_faults(f"{self.targets[vm_id].url}/_switch", **switches)

    async def set_worker_faults(self, vm_id: str, **switches: object) -> None:
        """Sets the fault switches of a worker; all others are reset."""
        url = f"{self.workers[vm_id].url}/w/{vm_id}/switch"
        await self.set_faults(url, **switches)

    async def call(
        self, method: str, path: str, body: object = None, node: str = ""
    ) -> tuple[int, dict]:
        """Calls a daemon's administration API.

        Returns:
            The HTTP status and the decoded body.
        """
        base = self.admin[node or next(iter(self.daemons))]
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        with self.described():
            async with self.http.request(
                method, f"{base}{path}", json=body, headers=headers
            ) as resp:
                return resp.status, await resp.json()

    async def worker_events(self) -> list[WorkerEvent]:
        """Returns the records of all workers in the order of time."""
        found: list[WorkerEvent] = []
        for process in {p.pid: p for p in self.workers.values()}.values():
            body = await self._read(f"{process.url}/record")
            found += msgspec.json.decode(body, type=list[WorkerEvent])
        return sorted(found, key=lambda event: event.at_ms)

    async def target_records(self) -> dict[str, TargetRecord]:
        """Returns the record of each target, by id."""
        found = {}
        for vm_id, process in self.targets.items():
            body = await self._read(f"{process.url}/_record")
            found[vm_id] = msgspec.json.decode(body, type=TargetRecord)
        return found

    async def _read(self, url: str) -> bytes:
        with self.described():
            async with self.http.get(url) as resp:
                return await resp.read()

    def _zone(self, number: int) -> str:
        return self.zones[number % len(self.zones)]

    def _add_vm(self, vm: Vm) -> None:
        self._vms[vm.id] = vm

    def _start_standin(self, name: str, arguments: list[str]) -> Process:
        port = free_port()
        url = f"http://127.0.0.1:{port}"
        return self._start_process(name, [*arguments, "--port", str(port)], url)

    def _start_process(
        self,
        name: str,
        arguments: list[str],
        url: str,
        more_ports: Sequence[int] = (),
    ) -> Process:
        output = self.output / f"{name}.log"
        process = Process(arguments, url, output, more_ports)
        self._processes.append(process)
        return process

    async def _wait_until_up(self, *urls: str) -> None:
        with self.described():
            async with asyncio.timeout(START_TIMEOUT_S):
                for url in urls:
                    while not await self._is_up(url):
                        await asyncio.sleep(0.05)

    async def _is_up(self, url: str) -> bool:
        try:
            async with self.http.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False
