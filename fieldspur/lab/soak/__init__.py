"""The randomized fault soak: real router processes, troubles that overlap, and invariants judged at the sockets."""
