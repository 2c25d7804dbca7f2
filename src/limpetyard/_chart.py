"""State charts read from files and interpreted by the code.

A chart file is TOML: `initial = "state"` and one table `[states.<name>]` a
state whose keys are events and whose values are the next states.
"""

import importlib.resources
import tomllib

from limpetyard.errors import ChartError


class StateChart:
    """The states of one kind of thing and the events between them."""

    __slots__ = ("initial", "name", "_moves")

    def __init__(self, name: str, initial: str, moves: dict):
        self.name = name
        self.initial = initial
        self._moves = moves
        self._check()

    @classmethod
    def load(cls, name: str) -> "StateChart":
        """Reads the chart `name` from the package's charts.

        Raises:
            ChartError: If the chart names a state that it does not define.
        """
        files = importlib.resources.files("limpetyard") / "charts"
        data = tomllib.loads((files / f"{name}.toml").read_text())
        return cls(name, data["initial"], data["states"])

    def next(self, state: str, event: str) -> str:
        """Returns the state that `event` leads to.

        Raises:
            ChartError: If the chart has no such move.
        """
        moves = self._moves[state]
        if event not in moves:
            raise ChartError(f"{self.name}: no {event!r} in state {state!r}")
        return moves[event]

    def allows(self, state: str, event: str) -> bool:
        """Returns whether `event` can happen in `state`."""
        return event in self._moves[state]

    def _check(self) -> None:
        for state, moves in self._moves.items():
            for event, to in moves.items():
                if to not in self._moves:
                    raise ChartError(
                        f"{self.name}: {state}.{event} leads to unknown {to!r}"
                    )
        if self.initial not in self._moves:
            raise ChartError(f"{self.name}: unknown initial {self.initial!r}")


class StateMachine:
    """One thing that moves through a chart."""

    __slots__ = ("chart", "state")

    def __init__(self, chart: StateChart):
        self.chart = chart
        self.state = chart.initial

    def fire(self, event: str) -> str:
        """Moves along `event` and returns the new state.

        Raises:
            ChartError: If the chart has no such move.
        """
        self.state = self.chart.next(self.state, event)
        return self.state
