"""limpetyardctl, the command-line tool for operators."""

from limpetyard.ctl._main import main

__all__ = ["main"]
