"""Digests by which an operator's order is known again when it is repeated. Pure."""

import hashlib
import json

# a document's text, from which on its digest is made in a slice of its own (characters)
LARGE_TEXT = 1 << 16


def digest(base, request):
    """Marks an order: the same content on the same base is the same order, whatever the order of its keys."""
    return plain_digest(base, json.dumps(request, sort_keys=True, separators=(',', ':')))


def plain_digest(base, txt):
    """Marks an order by its text, as releases before protocol 5 do: the order of keys matters."""
    return hashlib.sha256(f'{base}\n{txt}'.encode()).hexdigest()[:32]


def marking(base, request, txt):
    """Both digests of an order, the one by content first; of a large one each in a slice of its own."""
    large = len(txt) // LARGE_TEXT
    yield large
    content = digest(base, request)
    yield large
    return content, plain_digest(base, txt)
