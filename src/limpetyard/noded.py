"""limpetyard-node, the daemon that runs on a VM of the users' platform."""

import signal


def main() -> None:
    """Entry point of limpetyard-node."""
    # SIGHUP ends a process that has no handler for it yet. The imports below
    # take most of the start, and settings that change meanwhile are read after
    # it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from limpetyard._node_process import run_node

    run_node()


if __name__ == "__main__":
    main()
