"""The randomized fault soak: real router processes, overlapping faults, and invariants that are checked at the sockets."""
