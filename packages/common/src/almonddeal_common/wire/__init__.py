"""Framed thrift messages between the processes of almonddeal."""
