"""The simulator adapter: runs the decision module for a simulator that talks to it over standard input and output."""
