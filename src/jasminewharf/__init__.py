"""A serving system for models that are rarely called."""

__version__ = "0.1.0"

__all__ = ["__version__"]
