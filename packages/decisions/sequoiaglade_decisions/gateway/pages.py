"""The list of a batch job's results, kept in pages that only grow at the end."""

# A page takes no further result once it holds this many characters of output; the
# store's objects hold a megabyte.
PAGE_CHARACTERS = 200_000


class ResultPages:
    """The pages of one job as they stand in the store, and what to write next.

    Only the last page is ever written, under the revision that was read, and a new
    one is begun only after a full one. A result so keeps its position, and an item is
    listed once, however many nodes write.

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
        """All results in the order of their positions."""
        return [result for page in self._pages for result in page]

    @property
    def count(self):
        """Number of listed results."""
        return sum(len(page) for page in self._pages)

    @property
    def next_unread(self):
        """Number of the page to read next to see what others wrote."""
        last = len(self._pages) - 1
        return last if last >= 0 and not _is_full(self._pages[last]) else last + 1

    def pages(self):
        """Return the pages as pairs of results and revision."""
        return list(zip(self._pages, self._revisions))

    def put(self, number, results, revision):
        """Take a page as it was read or written, unless a newer one is known."""
        if number < len(self._pages) and revision < self._revisions[number]:
            return
        if number == len(self._pages):
            self._pages.append(list(results))
            self._revisions.append(revision)
        else:
            self._pages[number] = list(results)
            self._revisions[number] = revision

    def plan(self, results):
        """Return the number, the expected revision (None for a new page) and content.

        Results of items that are listed already are left out; content is None if
        nothing is left.
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
        """Return the results from position `after`, of about `size_max` characters."""
        found, size = [], 0
        for result in self.results[after:]:
            size += len(result.output)
            if found and size > size_max:
                break
            found.append(result)
        return found


def _is_full(page):
    return sum(len(result.output) for result in page) >= PAGE_CHARACTERS
