"""Time on end for which a serving run is over its latency target."""

# Time that a measurement of a worker covers. A change of load or speed shows in
# full only after it.
MEASUREMENT_WINDOW_MS = 500

# Age of a measurement in a report at most; workers measure this often.
MEASUREMENT_AGE_MS = 250

# Longest time between two reports of a worker that answers each poll.
MAX_REPORT_INTERVAL_MS = 2000

# A report ends a strain if it is below this share of the target: reports are
# inexact and in whole milliseconds, so that one near the target says little.
CLEAR_SHARE = 0.9

# So do reports that are not over the target for this long on end, or that have
# no measurement.
CLEAR_AFTER_MS = 1000


class Strain:
    """A strain of a serving run, as its reports show it.

    Attributes:
        since_ms: When the first report over the target arrived.
        possible_since_ms: Earliest time at which the tail latency may have
            risen: within the window of the report before that one.
        reports: Number of reports since it began.
        not_over_since_ms: When the first of the latest reports arrived that
            were not over the target, or None if the last one was.
        peak_ms: Highest tail latency that was reported.
        response: What was done about it last, or "" before that.
        response_ms: When that was ordered, or None.
        effect_ms: Time from the order until reports showed the speeds that were
            ordered, or None.
    """

    __slots__ = (
        "effect_ms",
        "not_over_since_ms",
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
        self.not_over_since_ms: float | None = None
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
        measured_ms = previous_ms - MEASUREMENT_AGE_MS
        return cls(now_ms, measured_ms - MEASUREMENT_WINDOW_MS)

    def add_report(
        self, tail_ms: float, target_ms: float, now_ms: float
    ) -> bool:
        """Records a report.

        Args:
            tail_ms: Tail latency in the report; 0 if there is none.
            target_ms: Target of the run.
            now_ms: When the report arrived.

        Returns:
            Whether the strain has ended.
        """
        self.reports += 1
        self.peak_ms = max(self.peak_ms, tail_ms)
        if tail_ms > target_ms:
            self.not_over_since_ms = None
            return False
        if self.not_over_since_ms is None:
            self.not_over_since_ms = now_ms
        return (
            0 < tail_ms < CLEAR_SHARE * target_ms
            or now_ms - self.not_over_since_ms >= CLEAR_AFTER_MS
        )

    def respond(self, response: str, now_ms: float) -> None:
        """Records what is done about the strain."""
        self.response = response
        self.response_ms = now_ms
        self.effect_ms = None
