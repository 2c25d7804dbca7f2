"""Topics, groups, producers and keys that nodes use in the store."""

import math

# Topic of accepted and cancelled jobs, their progress and the workers in use;
# the partition is the number of the cell.
JOBS_TOPIC = "jobs"

# Topic of ownership claims; the epoch of an ownership is the offset of its
# claim plus one.
OWNERS_TOPIC = "owners"

# Consumer group that assigns cells to nodes.
CELLS_GROUP = "cells"

# Topics that are written from outside limpetyard, and their only partition.
OPERATORS_TOPIC = "operators"
WORKERS_TOPIC = "workers"
EXTERNAL_PARTITION = 0

# Producer id shared by all owners of a cell; a higher epoch fences lower ones.
OWNER_PRODUCER = "owner"

# Key of an ownership claim.
CLAIM_KEY = "owner"

# Key, in the topic of jobs, of the epoch of the latest owner that stores the
# place of a long-running task before it is started there.
PLACES_KEY = "places"

# Key, in the topic of jobs, of the epoch of the latest owner that has known all
# earlier owners to issue no more orders.
SETTLED_KEY = "settled"

# Key prefix, in the topic of jobs and before the epoch of an owner, of the
# addresses of its witnesses.
WITNESSES_PREFIX = "witnesses/"

# Key, in the topic of jobs, of the workers that get no lease; see
# `UnleasedRecord`.
UNLEASED_KEY = "unleased"

# First character of the nonce of a member that stores the place of a
# long-running task before it starts the task there. Nonces of earlier releases
# are hexadecimal.
PLACES_MARK = "p"

# Begin of the nonce of a member that, in addition, issues orders after
# `EngineParams.unwitnessed_ms` only if its witnesses extend them.
WITNESSES_MARK = PLACES_MARK + "w"

# Begin of the nonce of a member that, in addition, is confirmed as the owner by
# reads of the claims alone, whichever partitions it holds, and keeps the cell
# while it is in the group.
CLAIMS_MARK = WITNESSES_MARK + "s"

# Begin of the nonce of a member that, in addition, starts a task on a worker
# that the store has as its `AnsweredPlace` only once the store has it no more.
ANSWERS_MARK = CLAIMS_MARK + "r"

# Key prefix, before the id, of workers that may have received orders.
WORKER_KEY_PREFIX = "w/"


def member_name(node: str, address: str, nonce: str, cores: float = 0.0) -> str:
    """Returns the group member name of one incarnation of a node.

    Args:
        node: Name of the node.
        address: IP:port at which other nodes reach it.
        nonce: Random string that distinguishes the incarnations of a node;
            without "-".
        cores: Processor capacity of its VM in cores, 0 if unknown.
    """
    # Nodes of earlier releases expect exactly three parts.
    incarnation = f"{cores:g}-{nonce}" if cores else nonce
    return f"{node}|{address}|{incarnation}"


def member_address(member: str) -> str:
    """Returns the peer address in a member name, or "" if it has none."""
    parts = member.split("|")
    return parts[1] if len(parts) == 3 else ""


def member_node(member: str) -> str:
    """Returns the name of the node in a member name, or "" if it has none."""
    return member.partition("|")[0]


def member_stores_places(member: str) -> bool:
    """Returns whether a member stores places; see `PLACES_MARK`."""
    return member_nonce(member).startswith(PLACES_MARK)


def member_needs_witnesses(member: str) -> bool:
    """Returns whether a member needs witnesses; see `WITNESSES_MARK`."""
    return member_nonce(member).startswith(WITNESSES_MARK)


def member_confirms_by_claims(member: str) -> bool:
    """Returns whether reads of the claims confirm it; see `CLAIMS_MARK`."""
    return member_nonce(member).startswith(CLAIMS_MARK)


def member_keeps_answers(member: str) -> bool:
    """Returns whether a member keeps to answers; see `ANSWERS_MARK`."""
    return member_nonce(member).startswith(ANSWERS_MARK)


def member_nonce(member: str) -> str:
    """Returns the random string in a member name, or "" if it has none."""
    parts = member.split("|")
    return parts[2].rpartition("-")[2] if len(parts) == 3 else ""


def member_cores(member: str) -> float:
    """Returns the processor capacity in a member name, or 0 if it has none."""
    parts = member.split("|")
    if len(parts) != 3:
        return 0.0
    try:
        cores = float(parts[2].rpartition("-")[0])
    except ValueError:
        return 0.0
    return cores if math.isfinite(cores) and cores > 0 else 0.0
