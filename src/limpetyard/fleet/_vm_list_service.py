"""Polls the VM list."""

from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.errors import VmListUnavailableError
from limpetyard.fleet._vm_list import Vm, VmList, VmRole, VmState

POLL_MS = 1000


class VmListService(Service):
    """Polls the VM list and keeps the last one while it is unavailable.

    Attributes:
        vms: VMs of the latest list.
        last_read_ms: Clock reading when it was read, or None if none was read
            yet.
    """

    def __init__(self, vm_list: VmList, clock: Clock):
        super().__init__()
        self.vms: list[Vm] = []
        self.last_read_ms: float | None = None
        self._vm_list = vm_list
        self._clock = clock

    def with_role(self, role: VmRole) -> list[Vm]:
        """Returns the VMs with the given role."""
        return [vm for vm in self.vms if vm.role is role]

    def entry_addresses(self) -> dict[str, tuple[str, int]]:
        """Returns the UDP addresses of the entry VMs not `GONE`, by id."""
        return {
            vm.id: _host_port(vm.address)
            for vm in self.with_role(VmRole.ENTRY)
            if vm.state is not VmState.GONE
        }

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            try:
                self.vms = await self._vm_list.read()
                self.last_read_ms = self._clock.now_ms()
            except VmListUnavailableError as exc:
                event("vm_list_unavailable", "WARNING", reason=exc)
            await self.sleep(POLL_MS / MS_PER_SECOND)


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
