"""Query tier over many shards, and the coordination parts it is made of.

Programs that embed single parts import the modules they need, for
example ``from plantainhook import lease``.
"""
