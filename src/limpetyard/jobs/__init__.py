"""Jobs of several steps: specification, state and stored records.

Used by `limpetyard.node` and `limpetyard.engine`, not by the daemon
`limpetyard.daemon`.
"""

from limpetyard.jobs._job import (
    FINAL_STATES,
    AnsweredPlace,
    Job,
    StartDoubt,
    Task,
    TaskKey,
)
from limpetyard.jobs._records import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    CHUNK_PREFIX,
    PROGRESS_PREFIX,
    JobProgress,
    TaskProgress,
    apply_progress,
    cancellation_keys,
    cancelled_job,
    cancels_jobs_of,
    chunk_job,
    decode_record,
    decode_spec,
    encode_cancellation,
    encode_progress,
    encode_spec,
    progress_changes,
)
from limpetyard.jobs._spec import (
    AdviceParams,
    InvalidJobError,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    check_id,
    check_spec,
)
from limpetyard.jobs._task_history import (
    TaskHistory,
    apply_history,
    task_history,
)

__all__ = [
    "ACCEPTED_PREFIX",
    "CANCELLED_PREFIX",
    "FINAL_STATES",
    "CHUNK_PREFIX",
    "PROGRESS_PREFIX",
    "AdviceParams",
    "AnsweredPlace",
    "InvalidJobError",
    "Job",
    "JobProgress",
    "JobSpec",
    "QueueParams",
    "Resources",
    "StartDoubt",
    "StepSpec",
    "Task",
    "TaskHistory",
    "TaskKey",
    "TaskProgress",
    "apply_history",
    "apply_progress",
    "cancellation_keys",
    "cancelled_job",
    "cancels_jobs_of",
    "check_id",
    "check_spec",
    "decode_record",
    "decode_spec",
    "encode_cancellation",
    "encode_progress",
    "encode_spec",
    "chunk_job",
    "progress_changes",
    "task_history",
]
