"""The highest revision that this node has served, kept across restarts."""

import os

FILE_NAME = "revision"


class FloorFile:
    """A file with the number in the data folder, if the node has one."""

    def __init__(self, data_folder):
        self._path = data_folder and os.path.join(data_folder, FILE_NAME)

    def read(self):
        """Return the stored number, or 0.

        >>> FloorFile(None).read()
        0
        """
        if self._path is None:
            return 0
        try:
            with open(self._path, encoding="ascii") as file:
                return int(file.read())
        except (OSError, ValueError):
            return 0

    def write(self, number):
        """Store `number`; disk errors are ignored, as on a node without a disk."""
        if self._path is None:
            return
        partial = self._path + ".new"
        try:
            os.makedirs(os.path.dirname(self._path), exist_ok=True)
            with open(partial, "w", encoding="ascii") as file:
                file.write(str(number))
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial, self._path)
        except OSError:
            return
