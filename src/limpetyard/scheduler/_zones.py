"""Hold-down of batch work for availability zones that return to service."""

import collections
import dataclasses

INITIAL_HOLD_DOWN_MS = 2000.0
MAX_HOLD_DOWN_MS = 120_000.0
FLAP_WINDOW_MS = 600_000.0


@dataclasses.dataclass(slots=True)
class _ZoneState:
    out: bool = False
    batch_from_ms: float = float("-inf")
    return_times_ms: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class ZoneHoldDown:
    """Keeps batch work out of zones that returned to service recently.

    Each return within `FLAP_WINDOW_MS` doubles the hold-down, up to
    `MAX_HOLD_DOWN_MS`, so that a flapping zone causes no evictions of batch
    tasks. Latency-critical tasks are placed there at once.
    """

    __slots__ = ("_zones",)

    def __init__(self):
        self._zones: dict[str, _ZoneState] = collections.defaultdict(_ZoneState)

    def observe(self, zones_out: frozenset[str], now_ms: float) -> None:
        """Updates which zones are out of service."""
        for name in zones_out:
            self._zones[name].out = True
        for name, zone in self._zones.items():
            if zone.out and name not in zones_out:
                self._start_hold_down(zone, now_ms)

    def accepts_batch(self, name: str, now_ms: float) -> bool:
        """Returns whether batch work may be placed in the zone."""
        zone = self._zones.get(name)
        return zone is None or now_ms >= zone.batch_from_ms

    def _start_hold_down(self, zone: _ZoneState, now_ms: float) -> None:
        zone.out = False
        while (
            zone.return_times_ms
            and now_ms - zone.return_times_ms[0] > FLAP_WINDOW_MS
        ):
            zone.return_times_ms.popleft()
        hold_ms = INITIAL_HOLD_DOWN_MS * 2 ** len(zone.return_times_ms)
        zone.return_times_ms.append(now_ms)
        zone.batch_from_ms = now_ms + min(hold_ms, MAX_HOLD_DOWN_MS)
