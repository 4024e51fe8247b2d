"""Pure functions and state machines, without clock, socket, file or randomness."""
