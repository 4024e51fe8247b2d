"""Tasks that own sockets, timers and files."""
