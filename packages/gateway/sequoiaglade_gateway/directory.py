"""The addresses that this node's directory names to callers."""

import random
import threading

import structlog

from sequoiaglade_decisions.gateway import addresses_in_regions

from .messages import FindRunning
from .regions import region_map

# Limit of the platform for the addresses in one directory response.
MAX_DIRECTORY_ADDRESSES = 64


class Directory:
    """Chooses the addresses of an answer; `is_ready` tells if this node takes callers.

    A host without homes gets the addresses of all running instances.
    """

    def __init__(self, parts, is_ready):
        self._parts = parts
        self._is_ready = is_ready
        self._regions = region_map(parts.settings)
        self._lock = threading.Lock()
        self._left_out = ()
        self._log = structlog.get_logger()
        # Number of addresses in the last answer.
        self.address_count = 0

    def addresses(self, call):
        """Return the addresses that answer a `DirectoryCall`, sorted."""
        settings = self._parts.settings
        running = self._parts.coordinator.ask(FindRunning())
        self._note_left_out(running.left_out)
        region_by_address = {
            state.data_address: self._regions.region_of(state.failure_domain)
            for state in running.states
            if not state.is_leaving and state.configuration_version
        }
        if self._is_ready():
            region = self._regions.region_of(settings.failure_domain)
            region_by_address[settings.listen.data] = region
        addresses = self._choose(call, region_by_address)
        if len(addresses) > MAX_DIRECTORY_ADDRESSES:
            addresses = sorted(random.sample(addresses, MAX_DIRECTORY_ADDRESSES))
        self.address_count = len(addresses)
        return addresses

    def _choose(self, call, region_by_address):
        configuration = self._parts.store_cache.configuration
        homes = frozenset()
        if configuration is not None:
            homes = configuration.homes_of_host(call.host)
        if not homes:
            return sorted(region_by_address)
        caller_region = call.region or self._regions.region_of(call.failure_domain)
        addresses = addresses_in_regions(region_by_address, homes, caller_region)
        has_home_address = any(region_by_address[a] in homes for a in addresses)
        self._parts.metrics.count(
            "directory", "homes" if has_home_address else "outside of homes"
        )
        return addresses

    def _note_left_out(self, left_out):
        with self._lock:
            if left_out == self._left_out:
                return
            before, self._left_out = self._left_out, left_out
        self._log.info(
            "directory leaves out lost instances",
            left_out=list(left_out),
            no_longer=sorted(set(before) - set(left_out)),
        )
