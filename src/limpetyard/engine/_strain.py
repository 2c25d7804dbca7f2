"""Time on end for which a serving run is over its latency target."""


class Strain:
    """A strain of a serving run, as its reports show it.

    Attributes:
        since_ms: When the first report over the target arrived.
        possible_since_ms: When the report before that one arrived, or the run
            was placed: the tail latency may have risen right after it.
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

    def add_report(self, tail_ms: float) -> None:
        """Records a report over the target."""
        self.reports += 1
        self.peak_ms = max(self.peak_ms, tail_ms)

    def respond(self, response: str, now_ms: float) -> None:
        """Records what is done about the strain."""
        self.response = response
        self.response_ms = now_ms
        self.effect_ms = None
