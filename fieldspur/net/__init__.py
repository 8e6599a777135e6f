"""The network side of the router: client and server connections on real sockets around the decision module."""
