"""Adapter to the platform on which the forwarding daemon runs.

It holds the names, formats and calls of that platform. It only translates;
all decisions are made outside of this package.
"""
