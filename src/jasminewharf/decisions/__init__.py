"""Pure decisions: no clock, socket, file or random source of their own."""
