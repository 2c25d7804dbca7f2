"""Names of what nodes keep in the store."""

# Topic of accepted and cancelled jobs, of their progress and of the workers
# that were used; the partition is the number of the cell.
JOBS_TOPIC = "jobs"

# Topic of claims; the offset of a claim is the epoch of its ownership.
OWNERS_TOPIC = "owners"

# Group that deals the cells out to nodes.
CELLS_GROUP = "cells"

# Topics that others write.
OPERATORS_TOPIC = "operators"
WORKERS_TOPIC = "workers"
OTHERS_PART = 0

# Producer of all owners of a cell; a higher epoch shuts out a lower one.
OWNER_PRODUCER = "owner"

# Key of a claim.
CLAIM_KEY = "owner"

# Keys of workers that an owner may have given orders to, before their id.
WORKER_KEY = "w/"


def member_name(node: str, address: str, nonce: str) -> str:
    """Returns the name of one life of a node in a group."""
    return f"{node}|{address}|{nonce}"


def member_address(member: str) -> str:
    """Returns where other nodes reach a member, or "" if it does not say."""
    parts = member.split("|")
    return parts[1] if len(parts) == 3 else ""
