"""Sizes of classes as they are measured, where declared ones are too small."""

from limpetyard.cell import ResourceVector

# Part of a high reading that is kept at the next one, so that it fades.
KEPT = 0.995


class SizeEstimator:
    """Highest recent use of processors by class."""

    __slots__ = ("_cores",)

    def __init__(self):
        self._cores: dict[str, float] = {}

    def observe(self, class_name: str, cores: float) -> None:
        """Takes in what one run at full speed used."""
        kept = self._cores.get(class_name, 0.0) * KEPT
        self._cores[class_name] = max(kept, cores)

    def size_of(
        self, class_name: str, declared: ResourceVector, largest: ResourceVector
    ) -> ResourceVector:
        """Returns what has to be set aside for a task.

        It is never less than declared. It is no more than the largest worker
        has, so that a task which fits somewhere can still be placed.

        Args:
            class_name: Class of the task.
            declared: What its job declares.
            largest: The largest worker.
        """
        cores = min(self._cores.get(class_name, 0.0), largest.cores)
        if cores <= declared.cores:
            return declared
        return ResourceVector(cores, declared.memory_mb, declared.accelerators)
