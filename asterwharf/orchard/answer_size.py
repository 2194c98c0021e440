"""How many bytes the entries of an answer to a minion take as sent, and which of them one answer may hold. Pure.

Answers are JSON in UTF-8: quotes and control characters of a text grow by their escapes, other characters take
their bytes.
"""

from asterwharf.base.encoding import encoded

# the longest escape of one character; brackets, commas and numbers of an entry
BYTES_A_CHARACTER, BYTES_AN_ENTRY = 6, 64
# the rest of an answer: its numbers, names and an address
BYTES_BESIDE = 512


def _most_bytes(entry):
    return BYTES_AN_ENTRY + BYTES_A_CHARACTER * sum(len(part) for part in entry if type(part) is str)


def fitting(entries, room):
    """(the first entries that take `room` bytes at most, their bytes or an upper bound of them)."""
    most = sum(map(_most_bytes, entries))
    if most <= room:
        # texts are mostly short: nothing is encoded to find that out
        return entries, most
    used = 0
    for count, entry in enumerate(entries):
        # with the comma behind it
        size = len(encoded(entry)) + 1
        if used + size > room:
            return entries[:count], used
        used += size
    return entries, used


def shared(starts, stops, room):
    """(starts, stops) that one answer of `room` bytes holds; stops make room for starts, but neither shuts the other out."""
    room -= BYTES_BESIDE
    stops_now, used = fitting(stops, room // 2)
    starts_now, _ = fitting(starts, room - used)
    return starts_now, stops_now
