"""What operators have configured for a site."""

import msgspec

from limpetyard.jobs import QueueParams


class Queue(msgspec.Struct, frozen=True):
    """A queue that callers hand jobs in to.

    Attributes:
        host: Host that callers name.
        prefix: Start of the path that callers name.
        params: Terms of jobs that are handed in.
    """

    host: str
    prefix: str
    params: QueueParams


class SiteConfig(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        version: Rises with each change.
        queues: All queues.
        max_body_bytes: Largest body of a request.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int


class QueueTable:
    """Finds the queue of a request."""

    __slots__ = ("_by_host",)

    def __init__(self, queues: tuple[Queue, ...]):
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda q: -len(q.prefix)):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of `path`, or None."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class SiteView:
    """The newest configuration that a node knows.

    Attributes:
        config: The newest version, or None before the first.
        queues: Its queues.
        zones_out: Availability zones out of service.
    """

    __slots__ = ("config", "queues", "zones_out")

    def __init__(self):
        self.config: SiteConfig | None = None
        self.queues = QueueTable(())
        self.zones_out: frozenset[str] = frozenset()

    def set_config(self, config: SiteConfig) -> bool:
        """Takes in a version; an older one than known changes nothing."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.queues = QueueTable(config.queues)
        return True
