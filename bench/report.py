"""Tables and bounds that the benchmarks report."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(slots=True, frozen=True)
class Bound:
    """A measured value and the target that it must meet.

    Attributes:
        name: What was measured.
        value: Measured value.
        limit: Target.
        upper: Whether the limit is an upper bound rather than a lower bound.
    """

    name: str
    value: float
    limit: float
    upper: bool

    @classmethod
    def at_most(cls, name: str, value: float, limit: float) -> "Bound":
        """Returns an upper bound."""
        return cls(name, value, limit, True)

    @classmethod
    def at_least(cls, name: str, value: float, limit: float) -> "Bound":
        """Returns a lower bound."""
        return cls(name, value, limit, False)

    @property
    def met(self) -> bool:
        """Whether the target was met."""
        if self.upper:
            return self.value <= self.limit
        return self.value >= self.limit

    def text(self) -> str:
        """Returns one line with the verdict, the value and the limit."""
        sign = "<=" if self.upper else ">="
        verdict = "met" if self.met else "NOT MET"
        return f"{verdict}: {self.name} {self.value:.3g} {sign} {self.limit:g}"


@dataclasses.dataclass(slots=True, frozen=True)
class Section:
    """Results of one benchmark.

    Attributes:
        name: Name on the command line and in the markers on the page.
        title: Printed heading.
        body: Tables in Markdown.
        bounds: Measured values with their targets.
    """

    name: str
    title: str
    body: str
    bounds: list[Bound]


def markdown_table(columns: Sequence[str], rows: Sequence[Sequence]) -> str:
    """Returns the rows as a Markdown table."""
    lines = [
        "| " + " | ".join(columns) + " |",
        "|" + " --- |" * len(columns),
    ]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines)
