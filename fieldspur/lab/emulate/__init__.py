"""What stands behind the routers and between them, and what goes wrong with it."""
