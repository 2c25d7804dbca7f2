"""Workers on which runs of an earlier owner or incarnation may exist."""

from collections.abc import Collection, Iterable, Mapping

from limpetyard.engine._worker import Worker


class UnconfirmedWorkers:
    """These workers in one round of planning, and which queues they concern.

    The route of a queue may have had other services, and a worker another
    service, than they have now. A run may exist wherever one of the services of
    its queue was one of the worker.
    """

    __slots__ = ("_born_by_queue", "_born_by_service", "_queue_services")

    def __init__(
        self,
        workers: Iterable[Worker],
        queue_services: Mapping[str, Collection[str]],
    ):
        """Initializes the workers of a round.

        Args:
            workers: These workers.
            queue_services: Services under which jobs of each queue may have
                been accepted, by queue.
        """
        self._queue_services = queue_services
        self._born_by_queue: dict[str, dict[str, int]] = {}
        self._born_by_service: dict[str, dict[str, int]] = {}
        for worker in workers:
            for service in worker.services:
                born_by_id = self._born_by_service.setdefault(service, {})
                born_by_id[worker.id] = worker.born

    def of_queue(self, queue: str) -> Mapping[str, int]:
        """Returns those that may have runs of a queue.

        Args:
            queue: Name of the queue.

        Returns:
            Their latest known incarnations, by worker id.
        """
        if queue not in self._born_by_queue:
            parts = [
                self._born_by_service[service]
                for service in self._queue_services.get(queue, ())
                if service in self._born_by_service
            ]
            # Nearly all queues have one service, with many workers.
            self._born_by_queue[queue] = (
                parts[0]
                if len(parts) == 1
                else {id_: born for part in parts for id_, born in part.items()}
            )
        return self._born_by_queue[queue]
