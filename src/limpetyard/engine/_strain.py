"""Time on end for which a serving run is over its latency target."""

# Time that a measurement of a worker covers. A change of load or speed shows in
# full only after it.
MEASUREMENT_WINDOW_MS = 500

# Longest time between two reports of a worker that answers each poll.
MAX_REPORT_INTERVAL_MS = 2000


class Strain:
    """A strain of a serving run, as its reports show it.

    Attributes:
        since_ms: When the first report over the target arrived.
        possible_since_ms: Earliest time at which the tail latency may have
            risen: within the window of the report before that one.
        reports: Number of reports over the target.
        peak_ms: Highest tail latency that was reported.
        response: What was done about it last, or "" before that.
        response_ms: When that was ordered, or None.
        effect_ms: Time from the order until reports showed the speeds that were
            ordered, or None.
    """

    __slots__ = (
        "effect_ms",
        "peak_ms",
        "possible_since_ms",
        "reports",
        "response",
        "response_ms",
        "since_ms",
    )

    def __init__(self, since_ms: float, possible_since_ms: float):
        self.since_ms = since_ms
        self.possible_since_ms = possible_since_ms
        self.reports = 0
        self.peak_ms = 0.0
        self.response = ""
        self.response_ms: float | None = None
        self.effect_ms: float | None = None

    @classmethod
    def shown_by_report(cls, previous_ms: float, now_ms: float) -> "Strain":
        """Returns the strain that a report shows first.

        Args:
            previous_ms: When the report before it arrived, or the run was
                placed.
            now_ms: When the report arrived.
        """
        previous_ms = max(previous_ms, now_ms - MAX_REPORT_INTERVAL_MS)
        return cls(now_ms, previous_ms - MEASUREMENT_WINDOW_MS)

    def add_report(self, tail_ms: float) -> None:
        """Records a report over the target."""
        self.reports += 1
        self.peak_ms = max(self.peak_ms, tail_ms)

    def respond(self, response: str, now_ms: float) -> None:
        """Records what is done about the strain."""
        self.response = response
        self.response_ms = now_ms
        self.effect_ms = None
