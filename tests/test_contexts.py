"""Contexts that a failed test leaves open."""

import threading

import zmq


def test_context_that_is_collected_does_not_wait_for_its_sockets():
    """Guards against a worker that hangs in a garbage collection until CI is ended.

    The collection has taken the sockets from the context's list and not yet closed
    them when it deletes the context.
    """
    context = zmq.Context()
    socket = context.socket(zmq.PUB)
    context._sockets.discard(socket)
    deletion = threading.Thread(target=context.__del__, daemon=True)
    deletion.start()
    deletion.join(2.0)
    hangs = deletion.is_alive()
    socket.close(0)
    deletion.join(2.0)
    context.term()
    assert not hangs
