"""Which failure domains operators have evacuated, and since when others are back.

Load pattern: an operator evacuates a failure domain, or several at once, while the
store or the watch of a node may be away; no new request may reach the endpoints there
until the entry is removed. Then all of them are free at once, to all nodes.
"""

from typing import NamedTuple


class EvacuationChanges(NamedTuple):
    """Names of domains, sorted: evacuations that began and that ended."""

    begun: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


class Evacuations:
    """The evacuated failure domains, by the entries of the store.

    Entries stay in force until the store or a peer tells of their removal, so that an
    outage of the store changes nothing. A list replaces all entries: one that was
    removed while the watch was cut is missing in it. A name of no known domain is in
    force as well, in case an endpoint of that domain registers.

    >>> evacuations = Evacuations()
    >>> evacuations.replace(["a", "b"], now=1.0)
    EvacuationChanges(begun=('a', 'b'), ended=())
    >>> evacuations.note("c", True, now=2.0)
    EvacuationChanges(begun=('c',), ended=())
    >>> evacuations.replace(["b"], now=9.0)
    EvacuationChanges(begun=(), ended=('a', 'c'))
    >>> sorted(evacuations.domains)
    ['b']
    """

    def __init__(self):
        self._began_at_by_domain = {}
        self._unknown = frozenset()

    @property
    def domains(self):
        """The names of the evacuated domains, a frozenset."""
        return frozenset(self._began_at_by_domain)

    def is_evacuated(self, domain):
        """Return whether a failure domain is evacuated."""
        return domain in self._began_at_by_domain

    def replace(self, domains, now):
        """Replace all entries by those of `domains`; return `EvacuationChanges`."""
        listed = set(domains)
        ended = sorted(self._began_at_by_domain.keys() - listed)
        begun = sorted(listed - self._began_at_by_domain.keys())
        for domain in ended:
            del self._began_at_by_domain[domain]
        for domain in begun:
            self._began_at_by_domain[domain] = now
        return EvacuationChanges(tuple(begun), tuple(ended))

    def note(self, domain, is_evacuated, now):
        """Record an entry or its removal; return `EvacuationChanges`."""
        if is_evacuated == self.is_evacuated(domain):
            return EvacuationChanges()
        if is_evacuated:
            self._began_at_by_domain[domain] = now
            return EvacuationChanges(begun=(domain,))
        del self._began_at_by_domain[domain]
        return EvacuationChanges(ended=(domain,))

    def ages(self, now):
        """Return for how many seconds this node has known each evacuation, by name."""
        rows = sorted(self._began_at_by_domain.items())
        return {domain: now - began_at for domain, began_at in rows}

    def note_known(self, known_domains):
        """Return the names that are newly found to be of no known domain, sorted.

        >>> evacuations = Evacuations()
        >>> evacuations.replace(["a", "attic"], now=1.0).begun
        ('a', 'attic')
        >>> evacuations.note_known({"a", "b"}), evacuations.note_known({"a", "b"})
        (['attic'], [])
        """
        unknown = self.domains - set(known_domains)
        new = sorted(unknown - self._unknown)
        self._unknown = unknown
        return new
