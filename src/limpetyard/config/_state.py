"""The configuration stream and the state that every daemon folds from it.

One version counter covers documents and availability zones. A record names
the version that its author saw; it is void if another was accepted since, so
of two operators who act at once one succeeds and one gets a conflict.
"""

from collections.abc import Callable

import msgspec

from limpetyard.config._document import (
    Configuration,
    parse_configuration,
    parse_parameters,
)
from limpetyard.errors import DocumentError

CONFIG_STREAM = "config"


class Publish(msgspec.Struct, tag="publish", frozen=True):
    """Replaces the documents.

    Attributes:
        id: Distinguishes this act from every other.
        expected: Version that the author saw.
        author: Who acted.
        template: Text of the template.
        parameters: Text of the parameters.
    """

    id: str
    expected: int
    author: str
    template: str
    parameters: str


class SetZone(msgspec.Struct, tag="zone", frozen=True):
    """Takes an availability zone out of service or brings it back."""

    id: str
    expected: int
    author: str
    availability_zone: str
    out: bool


class ConfigSnapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """The whole configuration after the record `as_of`."""

    as_of: int
    state: msgspec.Raw


Listener = Callable[[Publish | SetZone, bool, int], None]
ConfigRecord = Publish | SetZone | ConfigSnapshot


class _SavedState(msgspec.Struct):
    version: int
    last_id: str
    template: str
    parameters: str
    zones_out: list[str]


class ConfigState:
    """The configuration in force.

    Attributes:
        version: Count of the acts accepted so far.
        last_id: Id of the act that led to this version.
        template: Text of the template in force.
        parameters: Text of the parameters in force.
        zones_out: Availability zones that are out of service.
        cfg: The documents, typed.
        listener: Called with each act and whether it was accepted.
    """

    __slots__ = (
        "cfg",
        "last_id",
        "listener",
        "parameters",
        "template",
        "version",
        "zones_out",
    )

    def __init__(self, listener: "Listener | None" = None):
        self.listener = listener
        self.reset()

    def reset(self) -> None:
        """Goes back to the state before any act."""
        self.version = 0
        self.last_id = ""
        self.template = ""
        self.parameters = ""
        self.zones_out: frozenset[str] = frozenset()
        self.cfg: Configuration = parse_configuration("", "")

    def apply(self, offset: int, record: Publish | SetZone) -> None:
        """Folds one act in, or passes over it if it is void."""
        del offset
        current = record.expected == self.version
        accepted = current and self._APPLY[type(record)](self, record)
        if accepted:
            self.version += 1
            self.last_id = record.id
        if self.listener:
            self.listener(record, accepted, self.version)

    def check_successor(self, record: Publish) -> None:
        """Checks that valid documents may follow those in force.

        Raises:
            DocumentError: If they may not.
        """
        cells = parse_parameters(record.parameters).cells
        fixed = self.cfg.parameters.cells
        if self.template and cells != fixed:
            raise DocumentError(
                "parameters.cells", f"{cells} cannot replace {fixed}"
            )

    def dump(self) -> msgspec.Raw:
        """Returns the state for a snapshot."""
        saved = _SavedState(
            self.version,
            self.last_id,
            self.template,
            self.parameters,
            sorted(self.zones_out),
        )
        return msgspec.Raw(msgspec.json.encode(saved))

    def load(self, state: msgspec.Raw) -> None:
        """Replaces the state by that of a snapshot."""
        saved = msgspec.json.decode(state, type=_SavedState)
        self.version = saved.version
        self.last_id = saved.last_id
        self.template = saved.template
        self.parameters = saved.parameters
        self.zones_out = frozenset(saved.zones_out)
        self.cfg = parse_configuration(saved.template, saved.parameters)

    def _apply_publish(self, record: Publish) -> bool:
        try:
            cfg = parse_configuration(record.template, record.parameters)
            self.check_successor(record)
        except DocumentError:
            return False
        self.template = record.template
        self.parameters = record.parameters
        self.cfg = cfg
        return True

    def _apply_set_zone(self, record: SetZone) -> bool:
        zone = frozenset({record.availability_zone})
        if record.out:
            self.zones_out |= zone
        else:
            self.zones_out -= zone
        return True

    _APPLY = {Publish: _apply_publish, SetZone: _apply_set_zone}
