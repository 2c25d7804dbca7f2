"""Rendezvous hashing (highest random weight) of keys to members."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in order of preference for `key`.

    The loss of a member reassigns only the keys that it was first for.
    """
    return sorted(members, key=lambda member: _score(key, member))


def rendezvous_rank(key: str, member: str, members: Iterable[str]) -> int:
    """Returns the position of `member`, from 0, in the order for `key`."""
    return rendezvous_order(key, {member, *members}).index(member)


def _score(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())
