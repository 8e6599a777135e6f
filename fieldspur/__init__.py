"""A traffic router for a two-tier cache."""

__version__ = "0.2.0.dev0"
