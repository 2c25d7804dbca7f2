"""Assignment of workers and jobs to cells, and the names of cells' streams.

The assignment is a hash, so every process computes the same cell from the
configured number of cells.
"""

import xxhash


def cell_index(name: str, cells: int) -> int:
    """Returns the index, from 0, of the cell of a worker or job.

    Args:
        name: Id of the worker or job.
        cells: Number of cells in the configuration.
    """
    return xxhash.xxh64_intdigest(name.encode()) % cells


def cell_stream_name(cell: int) -> str:
    """Returns the name of a cell's stream."""
    return f"cell-{cell}"


def cell_stream_names(cells: int) -> list[str]:
    """Returns the names of the streams of all cells."""
    return [cell_stream_name(cell) for cell in range(cells)]
