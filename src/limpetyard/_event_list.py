"""Catalogue of all events that the processes log, with their fields.

A test checks that each event in the code is listed here with exactly these
fields, that each listed event is logged, and that docs/EVENTS.md describes it.
"""

from typing import NamedTuple


class EventKind(NamedTuple):
    """Fields and meaning of an event.

    Attributes:
        fields: Names of its fields, in the order in which they are logged.
        description: What the event means to an operator.
    """

    fields: tuple[str, ...]
    description: str


EVENTS: dict[str, EventKind] = {
    "admin_failed": EventKind(
        ("path", "reason"),
        "An administration request failed with an internal error.",
    ),
    "advice_failed": EventKind(
        ("job", "reason"),
        "The advice service did not answer; the step requests it again.",
    ),
    "advice_missing": EventKind(
        ("job",),
        "A queue requires advice, but no advice service is configured.",
    ),
    "append_abandoned": EventKind(
        ("job", "reason"),
        "The caller has left, and the store has not answered the append of its"
        " job or cancellation, which is not retried; it may be stored.",
    ),
    "append_unanswered": EventKind(
        ("topic", "reason"),
        "The store or the log did not answer an append; the append is retried.",
    ),
    "bad_packet": EventKind(
        ("peer", "reason"), "A packet from another member cannot be decoded."
    ),
    "cancellation_ignored": EventKind(
        ("job", "queue"),
        "A cancellation came from another queue than the one of the job.",
    ),
    "cancellation_kept": EventKind(
        ("job", "key"),
        "The owner read a cancellation of a job that it does not know; it"
        " takes effect if the job is read later.",
    ),
    "cancellation_read": EventKind(
        ("job", "state"),
        "The owner read a cancellation of a job that it knows; the state is"
        " the one before it.",
    ),
    "cancellation_undone": EventKind(
        ("job", "key"),
        "A record of a cancellation was deleted as expired while the job was"
        " cancelled again; the owner stores it once more.",
    ),
    "cell_claimed": EventKind(
        ("cell", "epoch"),
        "This node claimed a cell; the new epoch fences lower ones.",
    ),
    "cell_handed_over": EventKind(
        ("cell", "epoch", "successor", "claimed", "took_ms"),
        "This node, which gives a cell up, asked others to claim it: the one"
        " that agreed, if any, and whether it did in time.",
    ),
    "cell_lost": EventKind(
        ("cell", "reason", "confirmed_age_ms"),
        "This node no longer owns a cell, for the given reason.",
    ),
    "cell_ownership": EventKind(
        ("cell", "before", "now", "epoch"),
        "The ownership status of a cell on this daemon changed.",
    ),
    "cell_read_failed": EventKind(
        ("reason",), "The stream of a cell could not be read."
    ),
    "cell_taken_over": EventKind(
        ("cell", "epoch", "jobs", "workers", "took_ms"),
        "This node loaded the state of a cell and now schedules it.",
    ),
    "cells_dealt": EventKind(
        ("generation", "cells"), "The group assigned cells to this node."
    ),
    "claim_given_up": EventKind(
        ("cell", "reason"),
        "This node no longer tries to claim a cell, for the given reason.",
    ),
    "claims_unread": EventKind(
        ("epoch", "reason"),
        "The claims of a cell could not be read: earlier owners may order for"
        " their self-fencing time, or this owner is not confirmed.",
    ),
    "config_accepted": EventKind(
        ("version", "author"), "A configuration change was accepted."
    ),
    "config_in_force": EventKind(
        ("version", "queues"), "This node now uses a new configuration version."
    ),
    "config_read_failed": EventKind(
        ("reason",),
        "The configuration could not be read; the previous one stays.",
    ),
    "config_unreadable": EventKind(
        ("reason",),
        "A configuration is invalid; the previous one stays in force.",
    ),
    "crash_retracted": EventKind(
        ("task", "run", "worker", "score"),
        "A worker replies of which a crash was counted; the score is lowered.",
    ),
    "daemon_crashed": EventKind(("reason",), "The daemon ends with an error."),
    "daemon_draining": EventKind(
        ("drain_ms",), "The daemon received a stop signal and drains."
    ),
    "daemon_serving": EventKind(
        ("config_version",), "The daemon accepts requests."
    ),
    "daemon_started": EventKind(
        ("node", "zone"), "The daemon has opened its sockets."
    ),
    "daemon_stopped": EventKind((), "The daemon has ended."),
    "deadline_unreadable": EventKind(
        ("value",), "A caller's deadline is not a number; the default applies."
    ),
    "deleted_job_kept": EventKind(
        ("job", "state"),
        "An ended job was submitted or cancelled again while its records were"
        " deleted; the owner stores them once more.",
    ),
    "doubt_ended": EventKind(
        ("task", "worker", "how", "age_ms", "waited_ms"),
        "A start without a reply, sent to this worker age_ms ago, holds its"
        ' task to that worker no more; see "Unknown outcomes" in DESIGN.md.'
        " The task has waited for waited_ms; 0 if it runs or is done.",
    ),
    "end_outdated": EventKind(
        ("task", "run", "worker", "how"),
        "A worker reported the end of a run that was already replaced.",
    ),
    "entry_unreadable": EventKind(
        ("worker", "bytes", "reason"),
        "An entry among those of the workers cannot be decoded, or a value is"
        " out of bounds, such as an address of no machine; it names no worker."
        " Logged once for an entry.",
    ),
    "entry_unusable": EventKind(
        ("worker", "state"),
        "A worker's entry is neither ready nor draining; it is not used. Logged"
        " once for an entry.",
    ),
    "events_left_out": EventKind(
        ("of", "number"),
        "Lines of an event were dropped because of the limit per second.",
    ),
    "fence_unanswered": EventKind(
        ("topic", "reason"),
        "The store did not answer the call after which an abandoned append is"
        " not applied any more; it is retried.",
    ),
    "follow_failed": EventKind(
        ("topic", "reason"), "A topic could not be read; the read is retried."
    ),
    "forget_failed": EventKind(
        ("reason",), "Records of old jobs and workers could not be deleted."
    ),
    "history_lost": EventKind(
        ("topic", "offset"),
        "Unread records are no longer retained; the topic is reloaded.",
    ),
    "holders_unread": EventKind(
        ("reason",), "The owners of the cells could not be read from the store."
    ),
    "job_accepted": EventKind(
        ("job", "queue", "steps", "took_ms"),
        "A job is stored and acknowledged.",
    ),
    "job_begun": EventKind(
        ("job", "queue", "wait_ms"), "The first task of a job runs."
    ),
    "job_cancelled": EventKind(
        ("job", "queue", "owner", "state", "stored", "took_ms"),
        "A cancellation is acknowledged. State is the one that the owner's"
        " node has told, or `not_found` or `other_queue`, which are answered"
        " with 410, or `owner_away`; stored tells whether it was stored for"
        " the owner to read.",
    ),
    "job_ended": EventKind(
        ("job", "queue", "state", "age_ms"),
        "A job is complete, failed or cancelled.",
    ),
    "job_overwritten": EventKind(
        ("job", "queue", "service", "first_queue", "first_service"),
        "A repeated submission has stored a known job with another"
        " specification; the owner stores the first one again.",
    ),
    "job_read": EventKind(
        ("job", "queue", "age_ms"), "The owner has read an accepted job."
    ),
    "leave_failed": EventKind(
        ("reason",),
        "Leaving the group failed; the time to live ends the membership.",
    ),
    "look_failed": EventKind(
        ("worker", "reason"),
        "A worker did not answer a poll, or another one answered.",
    ),
    "loop_blocked": EventKind(
        ("lag_ms",),
        "The event loop was busy; timers such as heartbeats fired late.",
    ),
    "mark_unknown": EventKind(
        ("job", "mark"),
        "Stored progress names a task that its job does not have.",
    ),
    "member_silent": EventKind(
        ("member", "age_ms"),
        "The member this node stands by for does not answer; it joins again.",
    ),
    "member_suspected": EventKind(
        ("member",), "Another daemon did not answer probes and is suspected."
    ),
    "node_crashed": EventKind(("reason",), "The node ends with an error."),
    "node_leaving": EventKind(
        ("cells",),
        "The node starts to shut down and owns this number of cells.",
    ),
    "node_left": EventKind(
        ("cut",), "The node has left; this number of requests were cut off."
    ),
    "node_started": EventKind(
        ("node", "zone"), "The node has opened its sockets."
    ),
    "order_failed": EventKind(
        ("order", "reason"),
        "An order got no answer from its worker, or was rejected.",
    ),
    "orders_bounded": EventKind(
        ("cell", "epoch", "orders_left_ms", "settled_epoch", "unleased"),
        "For how long earlier owners, back to the settled one, may still issue"
        " orders, and the number of workers whose remaining time was stored.",
    ),
    "orders_extended": EventKind(
        ("cell", "epoch", "extended", "age_ms"),
        "Whether all witnesses extended the orders of this owner, and the time"
        " since it was last confirmed.",
    ),
    "orders_held_back": EventKind(
        ("held_back", "age_ms"),
        "Whether orders are withheld until the claims confirm this owner or its"
        " witnesses extend them.",
    ),
    "owner_failed": EventKind(
        ("cell", "reason"),
        "An unexpected error ended the ownership; the takeover starts anew.",
    ),
    "owner_silenced": EventKind(
        ("owner", "last_epoch", "epoch", "silenced", "leases_known"),
        "Whether the latest owner that may have issued orders, by last_epoch,"
        " was fenced and whether its leases are known.",
    ),
    "plan_slow": EventKind(
        ("cell", "took_ms", "effects"),
        "A round of planning held up the event loop for long.",
    ),
    "record_too_large": EventKind(
        ("key", "size_bytes", "limit_bytes"),
        "The store does not take this record; its job or worker is not stored"
        " until it is smaller, and the others are.",
    ),
    "record_unreadable": EventKind(
        ("key", "reason"),
        "A record of the cell cannot be decoded and is skipped.",
    ),
    "records_unreadable": EventKind(
        ("topic", "number"), "Records of other writers cannot be decoded."
    ),
    "release_unread": EventKind(
        ("cell",), "The release of a cell was not read back in time."
    ),
    "release_unstored": EventKind(
        ("cell", "reason"),
        "The state could not be stored at the release of a cell.",
    ),
    "request_refused": EventKind(
        ("path", "method", "kind", "detail"),
        "A caller's request was rejected, for the given reason.",
    ),
    "room_counted": EventKind(
        ("workers", "free_cores", "most_on_one"),
        "Every 2 s: cores not reserved on workers that answer, and the most on"
        " one of them.",
    ),
    "row_unreadable": EventKind(
        ("reply", "reason"),
        "A row of a reply cannot be decoded and is skipped; the others hold.",
    ),
    "run_ended": EventKind(
        ("task", "run", "worker", "how", "age_ms"),
        "A worker reported the end of a run.",
    ),
    "run_found": EventKind(
        ("task", "run", "worker", "state"),
        "A worker reported a run that this owner did not order.",
    ),
    "run_lost": EventKind(
        ("task", "run", "worker", "state"),
        "A run is lost: its worker dropped it or is gone, or its lease ended.",
    ),
    "run_moved": EventKind(
        ("task", "run", "worker", "left_ms"),
        "A run is stopped because its worker is draining.",
    ),
    "settings_invalid": EventKind(
        ("reason",),
        "The settings on disk are invalid; the old ones stay in force.",
    ),
    "settings_read": EventKind(
        ("changed", "in_force"),
        "The settings were read again; the changed ones need a restart.",
    ),
    "standby_entered": EventKind(
        ("cores", "larger", "age_ms"),
        "This node left the group because of preferred members, read this long"
        " ago; `larger` is the largest one.",
    ),
    "standby_left": EventKind(
        ("cores", "larger", "age_ms"),
        "This node joins the group again; too few preferred members are left.",
    ),
    "start_refused": EventKind(
        ("task", "run", "worker", "reason"),
        "A worker rejected a start; the task waits again.",
    ),
    "start_unanswered": EventKind(
        ("worker", "reason"), "A worker did not answer a start order."
    ),
    "start_withdrawn": EventKind(
        ("task", "run", "worker"),
        "A start order was not sent, as the run must not start any more.",
    ),
    "steps_unstarted": EventKind(
        ("after", "tasks"),
        "A worker runs a task that an earlier owner started: that owner has"
        " started none of the given number of tasks that come after it.",
    ),
    "stop_unanswered": EventKind(
        ("worker", "reason"), "A worker did not answer a stop order."
    ),
    "store_lost": EventKind(("call", "reason"), "The store does not answer."),
    "store_refused": EventKind(
        ("cell", "reason"),
        "The store rejected an append; the append is retried.",
    ),
    "store_regained": EventKind(("call",), "The store answers again."),
    "strain_began": EventKind(
        (
            "task",
            "run",
            "worker",
            "tail_ms",
            "target_ms",
            "since_report_ms",
            "best_effort",
            "working",
            "unreported",
            "stopping",
        ),
        "A report shows the tail of a serving task over its target; the report"
        " before arrived since_report_ms earlier. The counts are of best-effort"
        " runs beside it: all, those that work, those not reported yet, and"
        " those that work and are being stopped.",
    ),
    "strain_ended": EventKind(
        (
            "task",
            "run",
            "worker",
            "tail_ms",
            "target_ms",
            "peak_ms",
            "reports",
            "shown_ms",
            "possible_ms",
            "response",
            "response_age_ms",
            "effect_ms",
            "best_effort",
            "working",
            "unreported",
            "stopping",
        ),
        "Reports show the tail of a serving task back under its target. It"
        " was over it for shown_ms by reports, and for possible_ms at the"
        " longest. The last response was ordered response_age_ms"
        " ago and showed in reports after effect_ms; -1 means never.",
    ),
    "strain_response": EventKind(
        (
            "task",
            "run",
            "worker",
            "response",
            "tail_ms",
            "report_age_ms",
            "counted_ms",
            "possible_ms",
            "orders",
            "best_effort",
            "working",
            "unreported",
            "stopping",
        ),
        "Best-effort tasks beside a serving task are slowed or paused, as it"
        " counts as over its target for counted_ms; it may have been for"
        " possible_ms. The counts are those of strain_began.",
    ),
    "successor_told": EventKind(
        ("told",),
        "A leaving node that owned a cell has waited for the next owner to ask"
        " what it knows, and whether that did.",
    ),
    "takeover_failed": EventKind(
        ("cell", "reason"), "A takeover failed and is retried."
    ),
    "task_crashes_workers": EventKind(
        ("task", "run", "workers", "score", "proven"),
        "A worker crashed, perhaps unproven, under a run that had begun; a high"
        " score fails the job.",
    ),
    "task_paced": EventKind(
        ("task", "worker", "percent", "took_ms"),
        "A best-effort task may use this share of its full speed.",
    ),
    "task_started": EventKind(
        (
            "task",
            "run",
            "worker",
            "kind",
            "result",
            "queued_ms",
            "sends",
            "until_ms",
        ),
        "A start order was sent, which expires at until_ms on the worker's"
        " clock; the result is the worker's answer or silent.",
    ),
    "task_waiting": EventKind(
        (
            "task",
            "tasks",
            "age_ms",
            "reason",
            "detail",
            "withheld",
            "withheld_free",
        ),
        "Long-running tasks of a step wait, the named one longest; why. How"
        " many workers of the service get no new work, by condition, and the"
        " most free thousandths of a core on one of them that stays.",
    ),
    "throttle_unanswered": EventKind(
        ("worker", "reason"), "A worker did not answer a throttle order."
    ),
    "trial_placed": EventKind(
        ("task", "worker"),
        "A best-effort task of a job that has waited for long starts slowed,"
        " without headroom; see task_paced.",
    ),
    "vm_list_unavailable": EventKind(
        ("reason",), "The VM list could not be read; the last one stays in use."
    ),
    "witness_unreachable": EventKind(
        ("address", "reason"),
        "A witness sent no usable reply to a request for an extension.",
    ),
    "witnesses_chosen": EventKind(
        ("cell", "epoch", "witnesses"),
        "The nodes that may extend the orders of this owner while the store"
        " does not answer.",
    ),
    "work_counted": EventKind(
        (
            "kind",
            "waiting",
            "running",
            "stopping",
            "slowed",
            "paused",
            "over_target",
        ),
        "Every 2 s: tasks and runs by kind (serving, plain, filling); complete,"
        " unlike lines about single runs.",
    ),
    "worker_lapsed": EventKind(
        ("worker", "runs", "replied_ms"),
        "A worker was silent until its lease expired; its runs are lost.",
    ),
    "worker_listed": EventKind(
        ("worker", "draining", "zone"),
        "A worker is new, or its draining state changed.",
    ),
    "worker_reborn": EventKind(
        ("worker", "born", "clock_ms", "lease_left_ms"),
        "A worker restarted; its earlier runs are given up. The last reading of"
        " its clock before, and for how long leases of then may last.",
    ),
    "worker_replaced": EventKind(
        ("worker", "runs"),
        "Another worker answers at its address, so its runs no longer exist.",
    ),
    "worker_silent": EventKind(
        ("worker", "reason"), "A worker did not answer a sync."
    ),
    "worker_sounded": EventKind(
        ("worker", "token", "runs", "ends", "clock_ms", "lease_left_ms"),
        "A worker first answered this owner's token; its number of runs and"
        " ends, its clock, and for how long leases may last that were granted"
        " before.",
    ),
    "workers_usable": EventKind(
        (
            "epoch",
            "reached",
            "usable",
            "expected",
            "age_ms",
            "withheld",
        ),
        "After a takeover, the first, half or all of the workers that stay can"
        " get work, or some still cannot (late); the others by condition.",
    ),
    "zones_out": EventKind(
        ("zones",), "These availability zones are out of service."
    ),
}
