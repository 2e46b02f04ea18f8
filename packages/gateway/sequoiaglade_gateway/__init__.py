"""The gateway node: online requests and batch jobs of a fleet on a platform.

It routes requests by host and path to endpoints, relays their events, and runs batch
jobs. What has to last lives in the platform's store; nodes tell one another the rest.
"""
