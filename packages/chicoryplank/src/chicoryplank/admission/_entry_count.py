"""Number of entries among which a common allowance is divided.

Dividing by the entries that are visible now grants too much while entries
restart, since an entry that stops is no longer registered but still serves.
"""

# Time in seconds for which a number of entries counts after it was last seen.
# An entry that stops serves for several seconds, and a registration that
# lapsed with the store is missing for a few more.
_HOLD_S = 60.0


class EntryCount:
    """Greatest number of entries that any entry has seen recently.

    Entries tell each other this number with its age, so that a process that
    starts need not have seen the others itself.

    Example:
        >>> count = EntryCount()
        >>> count.observe(8, 0.0)
        >>> count.observe(3, 10.0)
        >>> count.get_bound(20.0), count.get_bound(65.0)
        (8, 3)
    """

    def __init__(self) -> None:
        self._last_seen_s: dict[int, float] = {}

    def observe(self, count: int, seen_s: float) -> None:
        """Records that a number of entries existed at a time in seconds."""
        known_s = self._last_seen_s.get(count, float("-inf"))
        self._last_seen_s[count] = max(known_s, seen_s)

    def get_bound(self, now_s: float) -> int:
        """Returns the greatest recent number of entries, at least 1."""
        return self.get_report(now_s)[0]

    def get_report(self, now_s: float) -> tuple[int, float]:
        """Returns the greatest recent number of entries and its age in s."""
        for count in [
            count
            for count, seen_s in self._last_seen_s.items()
            if now_s - seen_s > _HOLD_S
        ]:
            del self._last_seen_s[count]
        if not self._last_seen_s:
            return 1, 0.0
        count = max(self._last_seen_s)
        return count, now_s - self._last_seen_s[count]
