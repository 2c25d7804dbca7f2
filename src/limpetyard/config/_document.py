"""The TOML documents that operators publish.

A template defines what a workspace consists of: its latency-critical services
and the classes of its tasks. Parameters set the numbers of one workspace: the
partners' weights and quotas, and limits.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from limpetyard.errors import DocumentError

_Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
_Positive = Annotated[float, Meta(gt=0)]
_Weight = Annotated[float, Meta(gt=0, le=1000)]
_Count = Annotated[int, Meta(ge=0)]
_Millis = Annotated[int, Meta(ge=1, le=86_400_000)]


class _Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class Service(_Document):
    """A latency-critical service that targets serve.

    Attributes:
        idempotent: Whether a request may run more than once.
        deadline_ms: How long a caller waits when it names no deadline.
        max_body_bytes: Largest request body.
        max_answer_bytes: Largest answer body.
        slots: Requests that one target works on at a time.
        connections: Connections that one target accepts.
        queue_length: Requests that one entry VM lets wait.
    """

    idempotent: bool = False
    deadline_ms: _Millis = 2000
    max_body_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 65_536
    max_answer_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 1_048_576
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    connections: Annotated[int, Meta(ge=1, le=65_536)] = 64
    queue_length: Annotated[int, Meta(ge=1, le=100_000)] = 1000


class TaskClass(_Document):
    """A class of tasks.

    Attributes:
        cores: Processors that one task needs.
        memory_mb: Memory that one task needs, in MiB.
        accelerators: Accelerators that one task needs.
        run_ms: Expected run time.
        latency_critical: Whether its tasks go before batch work.
        max_attempts: Failed runs after which a task is given up.
    """

    cores: _Positive = 1.0
    memory_mb: Annotated[int, Meta(ge=1)] = 1024
    accelerators: _Count = 0
    run_ms: _Millis = 60_000
    latency_critical: bool = False
    max_attempts: Annotated[int, Meta(ge=1, le=1000)] = 5


class Template(_Document):
    """What a workspace consists of, by name."""

    service: dict[_Name, Service] = {}
    task: dict[_Name, TaskClass] = {}


class Partner(_Document):
    """One partner's part in the workspace.

    Attributes:
        weight: Its share is in proportion to this.
        quota_cores: Cores that its tasks may hold at one time.
    """

    weight: _Weight = 1.0
    quota_cores: _Positive = 1_000_000.0


class Limits(_Document):
    """Limits of the request path.

    Attributes:
        retry_ratio: Retries allowed for each request that was answered.
        attempts: Largest number of attempts of one request.
    """

    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3


class Parameters(_Document):
    """The numbers of one workspace.

    Attributes:
        cells: Streams that the workers and jobs are spread over. It cannot
            change once it is published.
        partner: Partners by name.
        limits: Limits of the request path.
    """

    cells: Annotated[int, Meta(ge=1, le=256)] = 1
    partner: dict[_Name, Partner] = {}
    limits: Limits = Limits()


class Configuration(msgspec.Struct, frozen=True):
    """A template with its parameters."""

    template: Template
    parameters: Parameters


def parse_template(text: str) -> Template:
    """Checks a template document as a whole.

    Raises:
        DocumentError: If it is not valid; names the place and the reason.
    """
    return _decode("template", text, Template)


def parse_parameters(text: str) -> Parameters:
    """Checks a parameter document as a whole.

    Raises:
        DocumentError: If it is not valid; names the place and the reason.
    """
    return _decode("parameters", text, Parameters)


def parse(template: str, parameters: str) -> Configuration:
    """Checks both documents and returns them typed.

    Raises:
        DocumentError: If one is not valid; names the place and the reason.
    """
    return Configuration(parse_template(template), parse_parameters(parameters))


def _decode(place: str, text: str, kind: type):
    try:
        return msgspec.toml.decode(text, type=kind)
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(" - at ")
        raise DocumentError(f"{place}{path.strip('`$')}", reason) from exc
    except msgspec.DecodeError as exc:
        raise DocumentError(place, str(exc)) from exc
