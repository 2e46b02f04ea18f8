"""Append-only list of a batch job's results, stored in pages."""

# A page with this many characters of output is full. The store's objects are limited to
# a megabyte.
PAGE_FULL_CHARACTERS = 200_000


class ResultPages:
    """The pages of one job as known from the store, and what to write next.

    Only the last page is written, conditional on the revision that was read, and a new
    page is started only after a full one. Results therefore keep their positions, and
    each item is listed once even if several nodes write.

    >>> from sequoiaglade_decisions.gateway import Result
    >>> pages = ResultPages()
    >>> pages.plan([Result("i-1", True, "text")])
    (0, None, [Result(item_id='i-1', is_completed=True, output='text')])
    """

    def __init__(self):
        self._pages = []
        self._revisions = []

    @property
    def results(self):
        """All results in order of position."""
        return [result for page in self._pages for result in page]

    @property
    def count(self):
        """Number of listed results."""
        return sum(len(page) for page in self._pages)

    @property
    def next_unread(self):
        """Index of the page to read next for results of other writers."""
        last = len(self._pages) - 1
        return last if last >= 0 and not _is_full(self._pages[last]) else last + 1

    def pages(self):
        """Return the pages as pairs of results and revision."""
        return list(zip(self._pages, self._revisions))

    def put(self, number, results, revision):
        """Store a page as read or written, unless a newer revision is known."""
        if number < len(self._pages) and revision < self._revisions[number]:
            return
        if number == len(self._pages):
            self._pages.append(list(results))
            self._revisions.append(revision)
        else:
            self._pages[number] = list(results)
            self._revisions[number] = revision

    def merge(self, other):
        """Store all pages of another `ResultPages`, unless newer ones are known."""
        for number, (results, revision) in enumerate(other.pages()):
            self.put(number, results, revision)

    def plan(self, results):
        """Return the next write: page index, expected revision and content.

        The revision is None for a new page. Results of items that are already listed
        are left out; all three values are None if no result remains.
        """
        listed = {result.item_id for result in self.results}
        new = [result for result in results if result.item_id not in listed]
        if not new:
            return None, None, None
        number = self.next_unread
        if number < len(self._pages):
            page, revision = self._pages[number], self._revisions[number]
        else:
            page, revision = [], None
        content = list(page)
        for result in new:
            if _is_full(content):
                break
            content.append(result)
        return number, revision, content

    def window(self, after, size_max):
        """Return results from position `after` on, up to `size_max` characters.

        At least one result is returned if there is one.
        """
        found, size = [], 0
        for result in self.results[after:]:
            size += len(result.output)
            if found and size > size_max:
                break
            found.append(result)
        return found


def _is_full(page):
    return sum(len(result.output) for result in page) >= PAGE_FULL_CHARACTERS
