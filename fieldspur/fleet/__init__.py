"""How the routers of a fleet agree among themselves and coordinate work on machines. A router imports this package only if its settings
name a fleet."""
