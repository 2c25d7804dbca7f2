"""Configuration documents, stream records and the state built from them."""

from limpetyard.config._document import (
    Configuration,
    Limits,
    Parameters,
    Partner,
    Service,
    TaskClass,
    Template,
    parse_configuration,
    parse_parameters,
    parse_template,
)
from limpetyard.config._service import (
    ConfigService,
    new_publish,
    new_set_zone,
)
from limpetyard.config._state import (
    CONFIG_STREAM,
    ConfigRecord,
    ConfigSnapshot,
    ConfigState,
    Publish,
    SetZone,
)

__all__ = [
    "CONFIG_STREAM",
    "ConfigRecord",
    "ConfigService",
    "ConfigSnapshot",
    "ConfigState",
    "Configuration",
    "Limits",
    "Parameters",
    "Partner",
    "Publish",
    "Service",
    "SetZone",
    "TaskClass",
    "Template",
    "new_publish",
    "new_set_zone",
    "parse_configuration",
    "parse_parameters",
    "parse_template",
]
