"""Set of occurrences of a job, as ranges of numbers."""

import bisect


class OccurrenceSet:
    """Numbers of occurrences, of which most follow one another.

    A schedule may have many thousand occurrences that are done, usually all up
    to some number but a few. The size of the set is that of its gaps.
    """

    __slots__ = ("_firsts", "_lasts")

    def __init__(self, ranges: list[tuple[int, int]] | None = None):
        """Initializes a set.

        Args:
            ranges: First and last number of each range, disjoint and in order.
        """
        self._firsts = [first for first, _ in ranges or ()]
        self._lasts = [last for _, last in ranges or ()]

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def __len__(self) -> int:
        return sum(self._lasts) - sum(self._firsts) + len(self._firsts)

    def add(self, number: int) -> None:
        """Adds a number; idempotent."""
        if number in self:
            return
        index = bisect.bisect_right(self._firsts, number)
        self._firsts.insert(index, number)
        self._lasts.insert(index, number)
        for left in (index, index - 1):
            if (
                0 <= left < len(self._firsts) - 1
                and self._lasts[left] + 1 == self._firsts[left + 1]
            ):
                del self._lasts[left]
                del self._firsts[left + 1]

    def ranges(self) -> list[tuple[int, int]]:
        """Returns first and last number of each range, in order."""
        return list(zip(self._firsts, self._lasts, strict=True))

    def numbers(self) -> list[int]:
        """Returns all numbers in order."""
        return [
            number
            for first, last in self.ranges()
            for number in range(first, last + 1)
        ]
