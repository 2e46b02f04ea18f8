"""When finished results of a batch job are written to its stored list.

Each write is a call to the store. Items of a job finish one after the other, so that
without a delay there is about one write for each item.
"""

# Results that finish within this time are written together. A holder that is lost takes
# unlisted results along, and their items run again. Callers read twice a second.
LISTING_DELAY_SECONDS = 0.5
# A job that is due within this time has its results written at once: a caller's last
# read in time, and the retry of a failed write, still come after that.
DUE_MARGIN_SECONDS = 2.0


def seconds_until_listing(waited, until_due, is_complete):
    """Return for how many more seconds finished results may wait for others.

    `waited` is the time since the oldest of them finished, `until_due` that until the
    job is due, negative for a late one. `is_complete` is whether no item is left.

    >>> seconds_until_listing(waited=0.125, until_due=9.0, is_complete=False)
    0.375
    >>> seconds_until_listing(waited=0.125, until_due=9.0, is_complete=True)
    0.0
    >>> seconds_until_listing(waited=0.125, until_due=1.5, is_complete=False)
    0.0
    """
    if is_complete or until_due <= DUE_MARGIN_SECONDS:
        return 0.0
    return max(0.0, LISTING_DELAY_SECONDS - waited)
