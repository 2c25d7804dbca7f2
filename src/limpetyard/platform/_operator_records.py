"""Decodes the records that operators write to the store."""

from typing import Annotated

import msgspec

from limpetyard._events import event
from limpetyard.jobs import AdviceParams, QueueParams
from limpetyard.node import Queue, SiteConfig, SiteView
from limpetyard.platform._bounds import MAX_NUMBER, Time
from limpetyard.platform._decode_errors import DECODE_ERRORS
from limpetyard.store import StoredRecord

# Key of the record that holds the configuration.
_CONFIG_KEY = "config"

# Key prefix of records that take an availability zone out of service; the name
# of the zone follows. "Evacuate" is the platform's term.
_EVACUATE_PREFIX = "evacuate/"

# Used if the configuration sets no limit.
DEFAULT_MAX_BODY_BYTES = 262_144


# Jobs are stored with the settings of their queue.
_Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Factor = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class _Advice(msgspec.Struct, rename="camel"):
    decision_ms: Time = 0.0
    # Taken as the additional latency for each worker in a request.
    period_ms: Time = 0.0
    validity_ms: Time = 0.0

    def to_params(self) -> AdviceParams:
        return AdviceParams(self.decision_ms, self.period_ms, self.validity_ms)


class _Route(msgspec.Struct, rename="camel"):
    # The platform calls a queue, to which callers submit jobs, a route.
    name: str
    host: str
    path_prefix: str
    service: str
    priority: _Number = 0
    max_attempts: _Number = 1
    stretch: _Factor = 1.0
    target_latency_ms: Time = 0.0
    advice: _Advice | None = None

    def to_queue(self) -> Queue:
        params = QueueParams(
            self.name,
            self.service,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_latency_ms,
            self.advice.to_params() if self.advice is not None else None,
        )
        return Queue(self.host, self.path_prefix, params)


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = _Limits()

    def to_site_config(self) -> SiteConfig:
        queues = tuple(route.to_queue() for route in self.routes)
        return SiteConfig(self.version, queues, self.limits.max_body_bytes)


class SiteViewUpdater:
    """Updates a site's view from the operators' records."""

    __slots__ = ("_view",)

    def __init__(self, view: SiteView):
        self._view = view

    def apply(self, records: list[StoredRecord]) -> None:
        """Applies records in order; ignores keys of no known kind."""
        for record in records:
            if record.key == _CONFIG_KEY:
                self._apply_config(record)
            elif record.key.startswith(_EVACUATE_PREFIX):
                self._apply_zone(record)

    def reset(self, keys: set[str]) -> None:
        """Replaces the zones out of service by those among `keys`.

        Args:
            keys: All keys that exist in the operators' topic.
        """
        zones = {
            key.removeprefix(_EVACUATE_PREFIX)
            for key in keys
            if key.startswith(_EVACUATE_PREFIX)
        }
        self._set_zones(frozenset(zones))

    def _apply_config(self, record: StoredRecord) -> None:
        if record.value is None:
            # A deletion is ignored; the previous configuration stays in force.
            return
        try:
            config = msgspec.json.decode(
                record.value, type=_Config
            ).to_site_config()
        except DECODE_ERRORS as exc:
            event("config_unreadable", "ERROR", reason=exc)
            return
        if self._view.set_config(config):
            event(
                "config_in_force",
                version=config.version,
                queues=len(config.queues),
            )

    def _apply_zone(self, record: StoredRecord) -> None:
        zone = record.key.removeprefix(_EVACUATE_PREFIX)
        zones = self._view.zones_out
        if record.value is None:
            self._set_zones(zones - {zone})
        else:
            self._set_zones(zones | {zone})

    def _set_zones(self, zones: frozenset[str]) -> None:
        if zones != self._view.zones_out:
            self._view.zones_out = zones
            event("zones_out", zones=",".join(sorted(zones)))
