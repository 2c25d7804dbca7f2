"""Records of the configuration stream and the state built from them.

Every daemon builds the same state from the stream. One version counter covers
documents and availability zones. A record carries the version that its author
saw (optimistic concurrency control); it is rejected if another record was
accepted since. Of two operators who publish at the same time, one succeeds and
the other gets a version conflict.
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
    """A change that replaces both documents.

    Attributes:
        id: Unique id of this change.
        expected: Version that the author saw.
        author: Name of the operator who made the change.
        template: TOML text of the template.
        parameters: TOML text of the parameters.
    """

    id: str
    expected: int
    author: str
    template: str
    parameters: str


class SetZone(msgspec.Struct, tag="zone", frozen=True):
    """A change that takes a zone out of service or restores it."""

    id: str
    expected: int
    author: str
    availability_zone: str
    out: bool


class ConfigSnapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """The state after the record at offset `as_of`."""

    as_of: int
    state: msgspec.Raw


ChangeCallback = Callable[[Publish | SetZone, bool, int], None]
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
        version: Number of changes accepted so far.
        last_id: Id of the change that produced this version.
        template: TOML text of the template in force.
        parameters: TOML text of the parameters in force.
        zones_out: Availability zones that are out of service.
        cfg: The parsed documents.
        on_change: Called with each change, whether it was accepted, and the
            resulting version.
    """

    __slots__ = (
        "cfg",
        "last_id",
        "on_change",
        "parameters",
        "template",
        "version",
        "zones_out",
    )

    def __init__(self, on_change: "ChangeCallback | None" = None):
        self.on_change = on_change
        self.reset()

    def reset(self) -> None:
        """Resets to version 0, the state of an empty stream."""
        self.version = 0
        self.last_id = ""
        self.template = ""
        self.parameters = ""
        self.zones_out: frozenset[str] = frozenset()
        self.cfg: Configuration = parse_configuration("", "")

    def apply(self, offset: int, record: Publish | SetZone) -> None:
        """Applies one change.

        Ignores it if its `expected` version is outdated or its documents are
        invalid.
        """
        del offset
        current = record.expected == self.version
        accepted = current and self._APPLY[type(record)](self, record)
        if accepted:
            self.version += 1
            self.last_id = record.id
        if self.on_change:
            self.on_change(record, accepted, self.version)

    def check_successor(self, record: Publish) -> None:
        """Checks that valid documents may replace those in force.

        Raises:
            DocumentError: If they change the number of cells, which is fixed
                by the first publication.
        """
        cells = parse_parameters(record.parameters).cells
        fixed = self.cfg.parameters.cells
        if self.template and cells != fixed:
            raise DocumentError(
                "parameters.cells",
                f"cannot change to {cells}, fixed at {fixed}",
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
        """Replaces the state with that of a snapshot."""
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
