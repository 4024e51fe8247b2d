"""Services: tasks that own sockets, timers and files."""
