"""Tables and bounds of the measurements."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(slots=True, frozen=True)
class Bound:
    """One measured value against its stated target.

    Attributes:
        name: What was measured.
        value: What the run gave.
        limit: The target.
        upper: Whether the value may be at most, or at least, the limit.
    """

    name: str
    value: float
    limit: float
    upper: bool

    @classmethod
    def most(cls, name: str, value: float, limit: float) -> "Bound":
        """Returns a bound from above."""
        return cls(name, value, limit, True)

    @classmethod
    def least(cls, name: str, value: float, limit: float) -> "Bound":
        """Returns a bound from below."""
        return cls(name, value, limit, False)

    @property
    def met(self) -> bool:
        """Whether the target was met."""
        if self.upper:
            return self.value <= self.limit
        return self.value >= self.limit

    def text(self) -> str:
        """Returns the bound in one line."""
        sign = "<=" if self.upper else ">="
        verdict = "met" if self.met else "NOT MET"
        return f"{verdict}: {self.name} {self.value:.3g} {sign} {self.limit:g}"


@dataclasses.dataclass(slots=True, frozen=True)
class Section:
    """One part of the report.

    Attributes:
        name: Name on the command line.
        title: Title on the page.
        body: Tables in Markdown.
        bounds: Targets and what was measured.
    """

    name: str
    title: str
    body: str
    bounds: list[Bound]


def table(columns: Sequence[str], rows: Sequence[Sequence]) -> str:
    """Returns a table in Markdown."""
    lines = [
        "| " + " | ".join(columns) + " |",
        "|" + " --- |" * len(columns),
    ]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines)
