"""limpetyardctl, the operators' tool."""

from limpetyard.ctl._main import main

__all__ = ["main"]
