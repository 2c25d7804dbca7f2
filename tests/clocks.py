"""Clocks of tests."""


class SetClock:
    """Clock that the test sets.

    Attributes:
        at_ms: The present time.
    """

    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self) -> float:
        """Returns the present time in milliseconds."""
        return self.at_ms
