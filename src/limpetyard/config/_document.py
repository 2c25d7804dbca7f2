"""Schema of the TOML documents that operators publish.

A template defines what a workspace consists of: its latency-critical services
and the classes of its tasks. The parameters set the values of one workspace:
the number of cells, the weights and quotas of its partners, and limits.
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
    """A latency-critical service whose requests targets handle.

    Attributes:
        idempotent: Whether a request may run more than once.
        deadline_ms: Default deadline of a request that specifies none.
        max_body_bytes: Maximum size of a request body.
        max_answer_bytes: Maximum size of a response body.
        slots: Requests that one target handles concurrently.
        connections: Connections that one target accepts.
        queue_length: Maximum number of requests queued on one entry VM.
    """

    idempotent: bool = False
    deadline_ms: _Millis = 2000
    max_body_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 65_536
    max_answer_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 1_048_576
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    connections: Annotated[int, Meta(ge=1, le=65_536)] = 64
    queue_length: Annotated[int, Meta(ge=1, le=100_000)] = 1000


class TaskClass(_Document):
    """Resource needs and retry limit of a class of tasks.

    Attributes:
        cores: Processor cores that one task needs.
        memory_mb: Memory that one task needs, in MiB.
        accelerators: Accelerators that one task needs.
        run_ms: Expected run time.
        latency_critical: Whether its tasks take precedence over batch work.
        max_attempts: Number of failed runs after which a task is abandoned.
    """

    cores: _Positive = 1.0
    memory_mb: Annotated[int, Meta(ge=1)] = 1024
    accelerators: _Count = 0
    run_ms: _Millis = 60_000
    latency_critical: bool = False
    max_attempts: Annotated[int, Meta(ge=1, le=1000)] = 5


class Template(_Document):
    """Services and task classes of a workspace, by name."""

    service: dict[_Name, Service] = {}
    task: dict[_Name, TaskClass] = {}


class Partner(_Document):
    """Weight and quota of one partner in the workspace.

    Attributes:
        weight: Relative weight; the fair share is proportional to it.
        quota_cores: Maximum number of cores that its tasks hold at a time.
    """

    weight: _Weight = 1.0
    quota_cores: _Positive = 1_000_000.0


class Limits(_Document):
    """Limits of the request path.

    Attributes:
        retry_ratio: Retry budget: retries allowed per request with a response.
        attempts: Maximum number of attempts per request.
    """

    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3


class Parameters(_Document):
    """Parameters of one workspace.

    Attributes:
        cells: Number of cells, each with its own stream, that workers and
            jobs are partitioned into. It cannot change after the first
            publication.
        partner: Partners by name.
        limits: Limits of the request path.
    """

    cells: Annotated[int, Meta(ge=1, le=256)] = 1
    partner: dict[_Name, Partner] = {}
    limits: Limits = Limits()


class Configuration(msgspec.Struct, frozen=True):
    """A template and its parameters, both validated."""

    template: Template
    parameters: Parameters


def parse_template(text: str) -> Template:
    """Parses and validates a template document.

    Raises:
        DocumentError: If it is invalid; gives the path and the reason.
    """
    return _decode("template", text, Template)


def parse_parameters(text: str) -> Parameters:
    """Parses and validates a parameter document.

    Raises:
        DocumentError: If it is invalid; gives the path and the reason.
    """
    return _decode("parameters", text, Parameters)


def parse_configuration(template: str, parameters: str) -> Configuration:
    """Parses and validates both documents.

    Raises:
        DocumentError: If one is invalid; gives the path and the reason.
    """
    return Configuration(parse_template(template), parse_parameters(parameters))


def _decode(document: str, text: str, document_type: type):
    try:
        return msgspec.toml.decode(text, type=document_type)
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(" - at ")
        raise DocumentError(f"{document}{path.strip('`$')}", reason) from exc
    except msgspec.DecodeError as exc:
        raise DocumentError(document, str(exc)) from exc
