"""Rendezvous hashing: who of the members stands first for a thing."""

from collections.abc import Iterable

import xxhash


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in their order for `key`, the first choice first.

    The loss of a member moves nothing but what it stood first for.
    """
    return sorted(members, key=lambda member: _score(key, member))


def rank_of(key: str, member: str, members: Iterable[str]) -> int:
    """Returns the place of `member`, from 0, in the order for `key`."""
    return ranked(key, {member, *members}).index(member)


def _score(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())
