"""Granted tickets and the endpoints that run them."""

from typing import NamedTuple

from ..outcomes import check_invariant
from .endpoints import EndpointState
from .tickets import Ticket


class HeldTicket(NamedTuple):
    """A granted ticket with its endpoint; `is_alone` if nothing else runs there."""

    ticket: Ticket
    state: EndpointState
    granted_at: float
    is_alone: bool


class HeldTicketIndex:
    """Granted tickets by id, by endpoint, and by fingerprint."""

    def __init__(self):
        self._by_id = {}
        self._by_endpoint = {}
        self._copies = {}

    def __contains__(self, ticket_id):
        return ticket_id in self._by_id

    def add(self, held):
        """Add a granted ticket."""
        ticket = held.ticket
        is_new = ticket.ticket_id not in self._by_id
        check_invariant(is_new, f"ticket {ticket.ticket_id} is granted once")
        self._by_id[ticket.ticket_id] = held
        of_endpoint = self._by_endpoint.setdefault(held.state.endpoint_id, {})
        of_endpoint[ticket.ticket_id] = held
        if ticket.fingerprint is not None:
            copies = self._copies.setdefault(ticket.fingerprint, {})
            copies[ticket.ticket_id] = held

    def pop(self, ticket_id):
        """Remove and return a granted ticket, or None."""
        held = self._by_id.pop(ticket_id, None)
        if held is None:
            return None
        endpoint_id = held.state.endpoint_id
        of_endpoint = self._by_endpoint[endpoint_id]
        del of_endpoint[ticket_id]
        if not of_endpoint:
            del self._by_endpoint[endpoint_id]
        if held.ticket.fingerprint is not None:
            self._drop_copy(held.ticket)
        return held

    def on_endpoint(self, endpoint_id):
        """Return the tickets granted on an endpoint, in the order of granting."""
        return list(self._by_endpoint.get(endpoint_id, {}).values())

    def copies_of(self, fingerprint):
        """Return the tickets with the fingerprint that run now."""
        return list(self._copies.get(fingerprint, {}).values())

    def counts(self):
        """Return (online, batch) counts by endpoint id."""
        counts = {}
        for endpoint_id, of_endpoint in self._by_endpoint.items():
            state = next(iter(of_endpoint.values())).state
            counts[endpoint_id] = (state.own_online, state.own_batch)
        return counts

    def _drop_copy(self, ticket):
        copies = self._copies[ticket.fingerprint]
        del copies[ticket.ticket_id]
        if not copies:
            del self._copies[ticket.fingerprint]
