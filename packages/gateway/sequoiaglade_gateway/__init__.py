"""The gateway node: online requests and batch jobs of a fleet on a platform.

It routes requests by host and path to endpoints, relays their events, and runs batch
jobs. Durable state is kept in the platform's store; nodes exchange all other state by
gossip.
"""
