"""Cells: ownership, placements and usage, agreed by the order of a stream."""

from limpetyard.cell._names import cell_of, cell_streams, stream_of
from limpetyard.cell._ownership import LeaseTerms, Ownership
from limpetyard.cell._records import (
    Cancel,
    CellRecord,
    CellSnapshot,
    Claim,
    Ended,
    Entry,
    JobSpec,
    Outcome,
    Placed,
    Rejected,
    Release,
    Size,
    Submit,
    Write,
)
from limpetyard.cell._state import CellState, Change, Job, Task, Use

__all__ = [
    "Cancel",
    "CellRecord",
    "CellSnapshot",
    "CellState",
    "Change",
    "Claim",
    "Ended",
    "Entry",
    "Job",
    "JobSpec",
    "LeaseTerms",
    "Outcome",
    "Ownership",
    "Placed",
    "Rejected",
    "Release",
    "Size",
    "Submit",
    "Task",
    "Use",
    "Write",
    "cell_of",
    "cell_streams",
    "stream_of",
]
