"""How documents are written in HTTP bodies."""

import json


def encoded(document):
    """The bytes of a JSON document in UTF-8; half of a surrogate pair, which no UTF-8 has, stays an escape."""
    text = json.dumps(document, separators=(',', ':'), ensure_ascii=False)
    return text.encode(errors='backslashreplace')
