"""Which cell a worker or a job belongs to, and the cell's stream.

Every process computes the same answer from the published number of cells.
"""

import xxhash


def cell_of(name: str, cells: int) -> int:
    """Returns the cell, from 0, of the worker or job called `name`."""
    return xxhash.xxh64_intdigest(name.encode()) % cells


def cell_stream_name(cell: int) -> str:
    """Returns the name of the stream of a cell."""
    return f"cell-{cell}"


def cell_stream_names(cells: int) -> list[str]:
    """Returns the names of the streams of all cells."""
    return [cell_stream_name(cell) for cell in range(cells)]
