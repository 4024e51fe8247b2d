"""Load and experiment tool: ``python -m jasminewharf.bench``."""
