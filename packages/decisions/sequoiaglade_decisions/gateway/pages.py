"""Append-only list of a batch job's results, stored in pages."""

from typing import NamedTuple

from .jobs import Result
from .json_sizes import json_size

# A page with this many characters of output is full. Releases that do not know closed
# pages agree with this one on what is full, unless the store refuses their next write.
PAGE_FULL_CHARACTERS = 200_000
# Size of a page's results as a fraction of the store's maximum value size. The rest is
# for the name of the document and what else the store keeps with it.
PAGE_SIZE_FRACTION = 0.97
# Bytes of a result in a page or a response besides its id and output.
RESULT_FRAME_BYTES = 64


class ResultPage(NamedTuple):
    """A page of results and the revision of its document.

    No result is added to a page that `is_closed`, though it has few characters.
    """

    results: list[Result]
    revision: int
    is_closed: bool = False

    @property
    def is_full(self):
        """Whether further results belong to the next page."""
        return self.is_closed or _has_full_count(self.results)


class PageWrite(NamedTuple):
    """The next write: a page's index, its expected revision and its new content.

    The revision is None for a new page. All values are None, and nothing is closed, if
    there is nothing to write.
    """

    number: int | None = None
    revision: int | None = None
    results: list[Result] | None = None
    is_closed: bool = False


class ResultPages:
    """The pages of one job as known from the store, and what to write next.

    Only the last page is written, conditional on the revision that was read, and a new
    page is started only after a full one. Results therefore keep their positions, and
    each item is listed once even if several nodes write.

    >>> from sequoiaglade_decisions.gateway import Result
    >>> pages = ResultPages()
    >>> write = pages.plan([Result("i-1", True, "text")], bytes_max=1000)
    >>> write.number, write.revision, write.results, write.is_closed
    (0, None, [Result(item_id='i-1', is_completed=True, output='text')], False)

    A page is closed before a result that does not fit into it.

    >>> pages.put(0, write.results, 7)
    >>> large = Result("i-2", True, "x" * 900)
    >>> write = pages.plan([large], bytes_max=1000)
    >>> write.number, write.revision, len(write.results), write.is_closed
    (0, 7, 1, True)
    >>> pages.put(0, write.results, 8, write.is_closed)
    >>> pages.plan([large], bytes_max=1000).number
    1
    """

    def __init__(self):
        self._pages = []

    @property
    def results(self):
        """All results in order of position."""
        return [result for page in self._pages for result in page.results]

    @property
    def count(self):
        """Number of listed results."""
        return sum(len(page.results) for page in self._pages)

    @property
    def next_unread(self):
        """Index of the page to read next for results of other writers."""
        last = len(self._pages) - 1
        return last if last >= 0 and not self._pages[last].is_full else last + 1

    def pages(self):
        """Return the pages as a list of `ResultPage`."""
        return list(self._pages)

    def put(self, number, results, revision, is_closed=False):
        """Store a page as read or written, unless a newer revision is known."""
        page = ResultPage(list(results), revision, is_closed)
        if number == len(self._pages):
            self._pages.append(page)
        elif revision >= self._pages[number].revision:
            self._pages[number] = page

    def merge(self, other):
        """Store all pages of another `ResultPages`, unless newer ones are known."""
        for number, page in enumerate(other.pages()):
            self.put(number, *page)

    def plan(self, results, bytes_max):
        """Return the next `PageWrite`, of a page of at most `bytes_max` bytes.

        Results of items that are already listed are left out. A result that is larger
        than a page has a page of its own.
        """
        listed = {result.item_id for result in self.results}
        new = [result for result in results if result.item_id not in listed]
        if not new:
            return PageWrite()
        number = self.next_unread
        page = ResultPage([], None)
        if number < len(self._pages):
            page = self._pages[number]
        content = list(page.results)
        size = sum(map(result_size, content))
        for result in new:
            if _has_full_count(content):
                break
            size += result_size(result)
            if content and size > bytes_max:
                return PageWrite(number, page.revision, content, True)
            content.append(result)
        return PageWrite(number, page.revision, content)

    def window(self, after, bytes_max):
        """Return results from position `after` on; see `bounded_results`."""
        return bounded_results(self.results[after:], bytes_max)


def page_bytes_max(value_bytes):
    """Return the greatest size of a page's results for a store's maximum value size."""
    return int(value_bytes * PAGE_SIZE_FRACTION)


def result_size(result):
    r"""Return the size in bytes of a result in a page or a response.

    >>> result_size(Result("i-1", True, "a\n"))
    74
    """
    return json_size(result.item_id) + json_size(result.output) + RESULT_FRAME_BYTES


def bounded_results(results, bytes_max):
    """Return the first results of at most `bytes_max` bytes, at least one if any.

    >>> results = [Result(f"i-{n}", True, "x" * 500) for n in range(3)]
    >>> len(bounded_results(results, 1200)), len(bounded_results(results, 100))
    (2, 1)
    """
    found, size = [], 0
    for result in results:
        size += result_size(result)
        if found and size > bytes_max:
            break
        found.append(result)
    return found


def _has_full_count(results):
    return sum(len(result.output) for result in results) >= PAGE_FULL_CHARACTERS
