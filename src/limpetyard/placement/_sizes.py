"""Measured CPU use of task classes, to correct sizes declared too small."""

from limpetyard.cell import ResourceVector

# Factor applied to a class's peak at each new reading, so that peaks decay.
DECAY = 0.995


class SizeEstimator:
    """Estimates task sizes from the recent peak CPU use of each class."""

    __slots__ = ("_peak_cores",)

    def __init__(self):
        self._peak_cores: dict[str, float] = {}

    def observe(self, class_name: str, cores: float) -> None:
        """Updates the peak of a class with the cores used by a run.

        The run must be at full speed.
        """
        decayed = self._peak_cores.get(class_name, 0.0) * DECAY
        self._peak_cores[class_name] = max(decayed, cores)

    def size_of(
        self, class_name: str, declared: ResourceVector, largest: ResourceVector
    ) -> ResourceVector:
        """Returns the resources to reserve for a task.

        They are never less than declared. Measured cores are capped at those
        of the largest worker, so that a task that fits somewhere can still be
        placed.

        Args:
            class_name: Class of the task.
            declared: Size that its job declares.
            largest: Capacity of the largest worker.
        """
        cores = min(self._peak_cores.get(class_name, 0.0), largest.cores)
        if cores <= declared.cores:
            return declared
        return ResourceVector(cores, declared.memory_mb, declared.accelerators)
