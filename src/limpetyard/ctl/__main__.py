"""Entry point of `python -m limpetyard.ctl`."""

from limpetyard.ctl import main

main()
