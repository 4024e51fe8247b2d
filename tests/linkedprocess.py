"""Runs a daemon whose links to other processes lead through proxies.

Arguments: the settings file, the own IP address and the fleet's first port. A link from
``127.0.0.3`` to ``127.0.0.9`` is made to the same port of ``127.3.0.9``.
"""

import signal
import sys

# As the start script of a checkout does.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import zmq  # noqa: E402

from jasminewharf.interfaces.running import run_daemon  # noqa: E402

_INTERNAL_PORTS = 2


def redirect_links(own_ip, first_port):
    own = own_ip.rpartition(".")[2]
    ports = range(first_port, first_port + _INTERNAL_PORTS)

    def redirect(method):
        def call(socket, endpoint):
            ip, _, port = endpoint.removeprefix("tcp://").rpartition(":")
            if endpoint.startswith("tcp://") and int(port) in ports:
                endpoint = f"tcp://127.{own}.0.{ip.rpartition('.')[2]}:{port}"
            return method(socket, endpoint)

        return call

    for name in ("connect", "disconnect"):
        setattr(zmq.Socket, name, redirect(getattr(zmq.Socket, name)))


if __name__ == "__main__":
    redirect_links(sys.argv[2], int(sys.argv[3]))
    run_daemon(sys.argv[1])
