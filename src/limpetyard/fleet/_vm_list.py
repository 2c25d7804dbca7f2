"""The platform's list of VMs, which lags behind the truth."""

import enum
from typing import Protocol

import aiohttp
import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.cell import ResourceVector
from limpetyard.errors import VmListUnavailableError


class VmRole(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    WORKER = "worker"
    TARGET = "target"


class VmState(enum.Enum):
    """What the platform says of a VM.

    `GONE` is final: the VM runs nothing any more.
    """

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list.

    Attributes:
        id: Name of the VM, never used again.
        role: What it is for.
        availability_zone: Where it stands.
        address: Base URL, or host:port of an entry VM's peer port.
        state: What the platform says of it.
        rack: Rack within the availability zone.
        service: Service of a target, or "".
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


class _VmPage(msgspec.Struct):
    vms: list[Vm]


class VmList(Protocol):
    """A lagging list of live, leaving and gone VMs."""

    async def read(self) -> list[Vm]:
        """Returns the list.

        Raises:
            VmListUnavailableError: If no answer came.
        """


class HttpVmList:
    """A client of the VM list."""

    __slots__ = ("_etag", "_newest", "_session", "_timeout", "_url")

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int
    ):
        self._session = session
        self._url = f"{url.rstrip('/')}/vms"
        self._etag = ""
        self._newest: list[Vm] = []
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND)

    async def read(self) -> list[Vm]:
        """Returns the list; an unchanged one is not sent again."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(
                self._url, timeout=self._timeout, headers=headers
            ) as resp:
                resp.raise_for_status()
                if resp.status == aiohttp.http.HTTPStatus.NOT_MODIFIED:
                    return self._newest
                body = await resp.read()
                etag = resp.headers.get("ETag", "")
            self._newest = msgspec.json.decode(body, type=_VmPage).vms
            self._etag = etag
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ) as exc:
            raise VmListUnavailableError(repr(exc)) from exc
        return self._newest
