"""True interference of the bench's workers; no policy knows any of it.

Each class puts pressure on its worker and is sensitive to that of others. The
forms differ in how pressure becomes slowness; none is the additive model that
the learning policy fits.
"""

import dataclasses
from collections.abc import Callable, Sequence

from limpetyard._registry import Registry
from standins.worker_model import ColocatedRun


@dataclasses.dataclass(slots=True, frozen=True)
class Nature:
    """How a class behaves.

    Attributes:
        pressure: What one task of it puts on its worker.
        sensitivity: How much it suffers.
    """

    pressure: float
    sensitivity: float


NATURES = {
    "primary": Nature(0.05, 1.0),
    "secondary": Nature(0.10, 0.4),
    "stream": Nature(1.0, 0.3),
    "cache": Nature(0.5, 0.5),
    "plain": Nature(0.06, 0.1),
}

Form = Callable[[float, float], float]
FORMS: Registry[Form] = Registry("form of interference")


@FORMS.register("inverse")
def inverse(pressure: float, sensitivity: float) -> float:
    """Slowness grows with all pressure."""
    return 1.0 / (1.0 + 0.35 * sensitivity * pressure)


@FORMS.register("saturating")
def saturating(pressure: float, sensitivity: float) -> float:
    """Pressure costs nothing until a shared resource is exhausted."""
    over = max(0.0, pressure - 1.2)
    return 1.0 / (1.0 + 0.7 * sensitivity * over)


@FORMS.register("cliff")
def cliff(pressure: float, sensitivity: float) -> float:
    """Two steps, as when a working set falls out of a cache."""
    if pressure > 2.2:
        return 1.0 - 0.55 * sensitivity
    if pressure > 1.0:
        return 1.0 - 0.2 * sensitivity
    return 1.0


class TrueRates:
    """Rates under one form; `noise` scales the batch classes' pressure.

    Attributes:
        noise: Factor on the pressure of "stream" and "cache".
    """

    __slots__ = ("_form", "noise")

    def __init__(self, form: str):
        self._form = FORMS.get(form)
        self.noise = 1.0

    def __call__(
        self, class_name: str, colocated: Sequence[ColocatedRun]
    ) -> float:
        """Returns the rate of a task of a class among others."""
        pressure = sum(
            self._pressure(other.class_name) * other.fraction
            for other in colocated
        )
        return self._form(pressure, NATURES[class_name].sensitivity)

    def _pressure(self, class_name: str) -> float:
        loud = class_name in ("stream", "cache")
        factor = self.noise if loud else 1.0
        return NATURES[class_name].pressure * factor
