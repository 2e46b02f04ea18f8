"""Messages and services between the nodes, generated from the ``.proto`` files.

The generated modules are committed; ``bin/generate-protocol`` makes them anew after
a change to a ``.proto`` file. One file holds the messages of one concern.
"""
