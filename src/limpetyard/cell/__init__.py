"""Cells: ownership, placements and usage, derived from a stream of records.

Part of `limpetyard.daemon`.
"""

from limpetyard.cell._names import (
    cell_index,
    cell_stream_name,
    cell_stream_names,
)
from limpetyard.cell._ownership import LeaseParams, Ownership
from limpetyard.cell._records import (
    Cancel,
    CellRecord,
    CellSnapshot,
    Claim,
    Ended,
    Entry,
    JobSpec,
    Placed,
    Rejected,
    Release,
    ResourceVector,
    RunOutcome,
    Submit,
    Write,
)
from limpetyard.cell._state import (
    CellState,
    Job,
    ResourceUsage,
    StateChange,
    Task,
)

__all__ = [
    "Cancel",
    "CellRecord",
    "CellSnapshot",
    "CellState",
    "Claim",
    "Ended",
    "Entry",
    "Job",
    "JobSpec",
    "LeaseParams",
    "Ownership",
    "Placed",
    "Rejected",
    "Release",
    "ResourceUsage",
    "ResourceVector",
    "RunOutcome",
    "StateChange",
    "Submit",
    "Task",
    "Write",
    "cell_index",
    "cell_stream_name",
    "cell_stream_names",
]
