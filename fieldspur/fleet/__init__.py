"""How the routers of a fleet agree among themselves and coordinate work on machines. Imported only by a router that has a fleet."""
