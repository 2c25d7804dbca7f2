"""Jobs of several steps: specification, state and stored records."""

from limpetyard.jobs._job import FINAL_STATES, Job, Task, TaskKey
from limpetyard.jobs._records import (
    ACCEPTED,
    CANCELLED,
    PROGRESS,
    Progress,
    TaskMark,
    apply_progress,
    decode_spec,
    encode_progress,
    encode_spec,
)
from limpetyard.jobs._spec import (
    AdviceTerms,
    JobError,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    check_id,
    check_spec,
)

__all__ = [
    "ACCEPTED",
    "CANCELLED",
    "FINAL_STATES",
    "PROGRESS",
    "AdviceTerms",
    "Job",
    "JobError",
    "JobSpec",
    "Progress",
    "QueueTerms",
    "Resources",
    "StepSpec",
    "Task",
    "TaskKey",
    "TaskMark",
    "apply_progress",
    "check_id",
    "check_spec",
    "decode_spec",
    "encode_progress",
    "encode_spec",
]
