"""Query tier over many shards, and the coordination modules it is built on.

A program can use single modules without the daemon, for example
``from plantainhook import lease`` (see examples/embed_lease.py).
"""
