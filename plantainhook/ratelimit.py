"""Limit the call rate of a client with a token bucket.

The object API has a rate limit that the whole fleet shares. Each client
therefore limits its own rate, asks the bucket how long to wait before a call,
and pauses the bucket for the time in a Retry-After header.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Grant calls at a rate in calls per second, with bursts.

    The number of tokens may become negative, because each waiting caller has
    already taken its token. This keeps callers in order and their waiting
    times exact.
    """

    rate_per_s: float
    burst_count: float
    tokens_count: float = -1.0
    refilled_s: float | None = None
    paused_until_s: float = 0.0

    def reserve(self, now_s: float) -> float:
        """Take a token and return the seconds to wait before the call."""
        self.refill(now_s)
        self.tokens_count -= 1
        debt_s = max(0.0, -self.tokens_count / self.rate_per_s)
        pause_s = max(0.0, self.paused_until_s - now_s)
        return max(debt_s, pause_s)

    def try_take(self, now_s: float) -> bool:
        """Take a token if one is available; return whether it was."""
        self.refill(now_s)
        if self.tokens_count < 1:
            return False
        self.tokens_count -= 1
        return True

    def pause(self, now_s: float, seconds: float) -> None:
        """Grant no call for a number of seconds."""
        self.paused_until_s = max(self.paused_until_s, now_s + seconds)

    def put_back(self, count: int) -> None:
        """Return tokens that were taken and not used."""
        self.tokens_count = min(self.burst_count, self.tokens_count + count)

    def refill(self, now_s: float) -> None:
        """Add the tokens gained since the last call."""
        if self.refilled_s is None:
            self.tokens_count = self.burst_count
        else:
            gained = (now_s - self.refilled_s) * self.rate_per_s
            self.tokens_count = min(
                self.burst_count, self.tokens_count + gained
            )
        self.refilled_s = now_s
