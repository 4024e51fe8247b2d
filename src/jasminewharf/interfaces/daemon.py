"""The installed daemon's entry point.

The modules of the command line and the services, which take most of the start, are
imported once SIGHUP is ignored.
"""

import signal

__all__ = ["main"]


def main(arguments: list[str] | None = None) -> None:
    """Run the daemon's command line."""
    # Its default action ends the process. Settings that change until the process
    # handles it are read then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .daemoncommand import run_command

    run_command(arguments)
