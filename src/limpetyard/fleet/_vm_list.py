"""The platform's list of VMs, which is eventually consistent."""

import enum
from typing import Protocol

import aiohttp
import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.cell import ResourceVector
from limpetyard.errors import VmListUnavailableError


class VmRole(enum.Enum):
    """Role of a VM in the workspace."""

    ENTRY = "entry"
    WORKER = "worker"
    TARGET = "target"


class VmState(enum.Enum):
    """State of a VM, as reported by the platform.

    `GONE` is final: nothing runs on the VM any more.
    """

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list.

    Attributes:
        id: Name of the VM; never reused.
        role: Role of the VM.
        availability_zone: Availability zone that hosts it.
        address: Base URL, or host:port of an entry VM's peer port.
        state: State reported by the platform.
        rack: Rack within the availability zone.
        service: Service that a target serves, or "".
        size: Resources of a worker.
    """

    id: str
    role: VmRole
    availability_zone: str
    address: str
    state: VmState = VmState.LIVE
    rack: str = ""
    service: str = ""
    size: ResourceVector = ResourceVector(0.0, 0)


class _VmListReply(msgspec.Struct):
    vms: list[Vm]


class VmList(Protocol):
    """Source of the list of VMs in all states; it may be stale."""

    async def read(self) -> list[Vm]:
        """Returns the list.

        Raises:
            VmListUnavailableError: If no valid response arrived.
        """


class HttpVmList:
    """An HTTP client of the VM list."""

    __slots__ = ("_cached_vms", "_etag", "_session", "_timeout", "_url")

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int
    ):
        self._session = session
        self._url = f"{url.rstrip('/')}/vms"
        self._etag = ""
        self._cached_vms: list[Vm] = []
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND)

    async def read(self) -> list[Vm]:
        """Returns the list; uses the ETag to skip unchanged responses."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(
                self._url, timeout=self._timeout, headers=headers
            ) as resp:
                resp.raise_for_status()
                if resp.status == aiohttp.http.HTTPStatus.NOT_MODIFIED:
                    return self._cached_vms
                body = await resp.read()
                etag = resp.headers.get("ETag", "")
            self._cached_vms = msgspec.json.decode(body, type=_VmListReply).vms
            self._etag = etag
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ) as exc:
            raise VmListUnavailableError(repr(exc)) from exc
        return self._cached_vms
