"""Reads what operators write to the store."""

import msgspec

from limpetyard._events import event
from limpetyard.jobs import AdviceParams, QueueParams
from limpetyard.node import Queue, SiteConfig, SiteView
from limpetyard.store import StoredRecord

# Keys of the operators' records.
_CONFIG = "config"
_EVACUATE = "evacuate/"

DEFAULT_BODY_BYTES = 262_144


class _Advice(msgspec.Struct, rename="camel"):
    decision_ms: float = 0.0
    period_ms: float = 0.0
    validity_ms: float = 0.0

    def params(self) -> AdviceParams:
        return AdviceParams(self.decision_ms, self.period_ms, self.validity_ms)


class _Route(msgspec.Struct, rename="camel"):
    # A route is a queue: where callers hand jobs in.
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: _Advice | None = None

    def queue(self) -> Queue:
        params = QueueParams(
            self.name,
            self.service,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_latency_ms,
            self.advice.params() if self.advice is not None else None,
        )
        return Queue(self.host, self.path_prefix, params)


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_body_bytes: int = DEFAULT_BODY_BYTES


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = _Limits()

    def site(self) -> SiteConfig:
        queues = tuple(route.queue() for route in self.routes)
        return SiteConfig(self.version, queues, self.limits.max_body_bytes)


class SiteViewUpdater:
    """Brings a site's view up to date with the operators' records."""

    __slots__ = ("_view",)

    def __init__(self, view: SiteView):
        self._view = view

    def apply(self, records: list[StoredRecord]) -> None:
        """Takes records in, in order."""
        for record in records:
            if record.key == _CONFIG:
                self._take_config(record)
            elif record.key.startswith(_EVACUATE):
                self._take_zone(record)

    def reset(self, keys: set[str]) -> None:
        """Takes in which keys exist."""
        out = {
            key.removeprefix(_EVACUATE)
            for key in keys
            if key.startswith(_EVACUATE)
        }
        self._set_zones(frozenset(out))

    def _take_config(self, record: StoredRecord) -> None:
        if record.value is None:
            return
        try:
            config = msgspec.json.decode(record.value, type=_Config).site()
        except msgspec.MsgspecError as exc:
            event("config_unreadable", "ERROR", reason=exc)
            return
        if self._view.set_config(config):
            event(
                "config_in_force",
                version=config.version,
                queues=len(config.queues),
            )

    def _take_zone(self, record: StoredRecord) -> None:
        zone = record.key.removeprefix(_EVACUATE)
        zones = self._view.zones_out
        if record.value is None:
            self._set_zones(zones - {zone})
        else:
            self._set_zones(zones | {zone})

    def _set_zones(self, zones: frozenset[str]) -> None:
        if zones != self._view.zones_out:
            self._view.zones_out = zones
            event("zones_out", zones=",".join(sorted(zones)))
