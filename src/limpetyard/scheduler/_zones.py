"""When a returned availability zone takes batch work again."""

import collections
import dataclasses

FIRST_HOLD_MS = 2000.0
LONGEST_HOLD_MS = 120_000.0
FLAP_WINDOW_MS = 600_000.0


@dataclasses.dataclass(slots=True)
class _Zone:
    out: bool = False
    open_ms: float = float("-inf")
    returns: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class ZoneHold:
    """Holds batch work back from zones that came back a moment ago.

    Each return within the window doubles the hold, so that a flapping zone
    costs no evictions; latency-critical work goes there at once.
    """

    __slots__ = ("_zones",)

    def __init__(self):
        self._zones: dict[str, _Zone] = collections.defaultdict(_Zone)

    def observe(self, zones_out: frozenset[str], now_ms: float) -> None:
        """Takes in which zones are out of service."""
        for name in zones_out:
            self._zones[name].out = True
        for name, zone in self._zones.items():
            if zone.out and name not in zones_out:
                self._returned(zone, now_ms)

    def accepts_batch(self, name: str, now_ms: float) -> bool:
        """Returns whether batch work may go to the zone."""
        zone = self._zones.get(name)
        return zone is None or now_ms >= zone.open_ms

    def _returned(self, zone: _Zone, now_ms: float) -> None:
        zone.out = False
        while zone.returns and now_ms - zone.returns[0] > FLAP_WINDOW_MS:
            zone.returns.popleft()
        hold_ms = FIRST_HOLD_MS * 2 ** len(zone.returns)
        zone.returns.append(now_ms)
        zone.open_ms = now_ms + min(hold_ms, LONGEST_HOLD_MS)
