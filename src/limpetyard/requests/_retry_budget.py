"""A token bucket that limits retries to a small fraction of requests."""

MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket for the retries of one service.

    Each response deposits a fraction of a token and each retry withdraws one.
    The bucket starts full, with `MAX_TOKENS` tokens.
    """

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = MAX_TOKENS

    def deposit(self, ratio: float) -> None:
        """Adds tokens for one request that got a response.

        Args:
            ratio: Tokens to add, i.e. the allowed retries per response.
        """
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def try_withdraw(self) -> bool:
        """Withdraws one token for a retry; returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
