"""Configuration of a site by its operators."""

import msgspec

from limpetyard.jobs import QueueParams


class Queue(msgspec.Struct, frozen=True):
    """A queue to which callers submit jobs.

    Attributes:
        host: Host header of requests to the queue.
        prefix: Prefix of the path of requests to the queue.
        params: Parameters of the jobs in the queue.
    """

    host: str
    prefix: str
    params: QueueParams


class SiteConfig(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        version: Version number; rises with each change.
        queues: All queues of the site.
        max_body_bytes: Maximum size of the body of a request.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int


class QueueTable:
    """Maps the host and path of a request to a queue."""

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
    """Latest configuration that a node has read.

    Attributes:
        config: Latest version, or None before the first one is read.
        queues: Queues of that version.
        services: Services that these queues name.
        zones_out: Availability zones that are out of service.
    """

    __slots__ = ("config", "queues", "services", "zones_out")

    def __init__(self):
        self.config: SiteConfig | None = None
        self.queues = QueueTable(())
        self.services: frozenset[str] = frozenset()
        self.zones_out: frozenset[str] = frozenset()

    def set_config(self, config: SiteConfig) -> bool:
        """Sets the configuration unless the same or a later version is known.

        Returns:
            Whether the configuration has been replaced.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.queues = QueueTable(config.queues)
        self.services = frozenset(q.params.service for q in config.queues)
        return True
