"""Ground-truth interference on the simulated workers, hidden from policies.

Each task class exerts pressure on its worker and is sensitive to the pressure
of colocated tasks. The forms differ in how pressure reduces a task's rate. None
of them is the additive model that the interference-aware policy fits. Only the
oracle reads the true rates.
"""

import dataclasses
from collections.abc import Callable, Sequence

from limpetyard._registry import Registry
from standins.worker_model import ColocatedRun


@dataclasses.dataclass(slots=True, frozen=True)
class ClassProfile:
    """Interference properties of a task class.

    Attributes:
        pressure: Pressure that one task of the class exerts on its worker.
        sensitivity: Factor on the effect of the pressure of colocated tasks.
    """

    pressure: float
    sensitivity: float


CLASS_PROFILES = {
    "primary": ClassProfile(0.05, 1.0),
    "secondary": ClassProfile(0.10, 0.4),
    "stream": ClassProfile(1.0, 0.3),
    "cache": ClassProfile(0.5, 0.5),
    "plain": ClassProfile(0.06, 0.1),
}

InterferenceForm = Callable[[float, float], float]
FORMS: Registry[InterferenceForm] = Registry("form of interference")


@FORMS.register("inverse")
def inverse(pressure: float, sensitivity: float) -> float:
    """Returns a rate that falls steadily as pressure grows."""
    return 1.0 / (1.0 + 0.35 * sensitivity * pressure)


@FORMS.register("saturating")
def saturating(pressure: float, sensitivity: float) -> float:
    """Returns 1.0 until pressure exhausts a shared resource, then less."""
    excess = max(0.0, pressure - 1.2)
    return 1.0 / (1.0 + 0.7 * sensitivity * excess)


@FORMS.register("cliff")
def cliff(pressure: float, sensitivity: float) -> float:
    """Returns a rate that falls in two steps.

    This resembles a working set that no longer fits into a cache.
    """
    if pressure > 2.2:
        return 1.0 - 0.55 * sensitivity
    if pressure > 1.0:
        return 1.0 - 0.2 * sensitivity
    return 1.0


class TrueRates:
    """Rates of tasks under one form of interference.

    Attributes:
        batch_pressure_factor: Factor on the pressure of "stream" and "cache".
    """

    __slots__ = ("_form", "batch_pressure_factor")

    def __init__(self, form: str):
        self._form = FORMS.get(form)
        self.batch_pressure_factor = 1.0

    def __call__(
        self, class_name: str, colocated: Sequence[ColocatedRun]
    ) -> float:
        """Returns the rate of a task among the given runs; 1.0 if alone."""
        pressure = sum(
            self._pressure(other.class_name) * other.fraction
            for other in colocated
        )
        return self._form(pressure, CLASS_PROFILES[class_name].sensitivity)

    def _pressure(self, class_name: str) -> float:
        is_noisy = class_name in ("stream", "cache")
        factor = self.batch_pressure_factor if is_noisy else 1.0
        return CLASS_PROFILES[class_name].pressure * factor
