"""State machines whose states and transitions are read from files.

A chart file is TOML: `initial = "state"` and a table `[states.<name>]` for each
state. The keys of a table are events, the values are the next states.
"""

import importlib.resources
import tomllib

from limpetyard.errors import ChartError


class StateChart:
    """States, initial state and transitions of a state machine.

    Attributes:
        initial: State that a machine starts in.
        name: Name of the chart, for error messages.
    """

    __slots__ = ("_transitions", "initial", "name")

    def __init__(self, name: str, initial: str, transitions: dict):
        self.name = name
        self.initial = initial
        self._transitions = transitions
        self._validate()

    @classmethod
    def load(cls, name: str) -> "StateChart":
        """Reads the chart `name` from the directory of charts.

        Raises:
            ChartError: If a transition or the initial state names an undefined
                state.
        """
        files = importlib.resources.files("limpetyard") / "charts"
        data = tomllib.loads((files / f"{name}.toml").read_text())
        return cls(name, data["initial"], data["states"])

    @property
    def states(self) -> frozenset[str]:
        """Names of all states."""
        return frozenset(self._transitions)

    def next(self, state: str, event: str) -> str:
        """Returns the state that follows `state` on `event`.

        Raises:
            ChartError: If `event` is not allowed in `state`.
        """
        transitions = self._transitions[state]
        if event not in transitions:
            raise ChartError(
                f"{self.name}: event {event!r} not allowed in state {state!r}"
            )
        return transitions[event]

    def allows(self, state: str, event: str) -> bool:
        """Returns whether `event` is allowed in `state`."""
        return event in self._transitions[state]

    def _validate(self) -> None:
        for state, transitions in self._transitions.items():
            for event, next_state in transitions.items():
                if next_state not in self._transitions:
                    raise ChartError(
                        f"{self.name}: {state}.{event} leads to unknown state"
                        f" {next_state!r}"
                    )
        if self.initial not in self._transitions:
            raise ChartError(
                f"{self.name}: unknown initial state {self.initial!r}"
            )


class StateMachine:
    """A state machine and its current state.

    Attributes:
        chart: States and transitions.
        state: Current state.
    """

    __slots__ = ("chart", "state")

    def __init__(self, chart: StateChart):
        self.chart = chart
        self.state = chart.initial

    def fire(self, event: str) -> str:
        """Applies `event` and returns the new state.

        Raises:
            ChartError: If `event` is not allowed in the current state.
        """
        self.state = self.chart.next(self.state, event)
        return self.state
