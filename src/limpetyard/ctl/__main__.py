"""Runs limpetyardctl as a module."""

from limpetyard.ctl import main

main()
