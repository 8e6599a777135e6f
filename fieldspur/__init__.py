"""A traffic router for a two-tier cache."""
