"""Tasks with sockets, timers and files that feed the decisions."""
