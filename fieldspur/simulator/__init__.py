"""The adapter: plays the decision module against simulated servers over standard input and output."""
