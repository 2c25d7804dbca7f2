"""A budget that keeps retries a small part of all requests."""

RESERVE = 10.0


class RetryBudget:
    """Earns a fraction of a retry for each answer."""

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = RESERVE

    def earn(self, ratio: float) -> None:
        """Takes in one answered request."""
        self._tokens = min(RESERVE, self._tokens + ratio)

    def spend(self) -> bool:
        """Returns whether a retry is allowed, and counts it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
