"""The bytes of HTTP/1.1: headers of requests in, answers out. Pure."""

import re
from http import HTTPStatus

FIRST = re.compile(rb'([A-Z]{1,20}) (/[!-~]*) HTTP/1\.1\Z')
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\Z")
HOST = re.compile(r'[A-Za-z0-9.\-_]+(:\d{1,5})?\Z|\[[0-9A-Fa-f:.]+\](:\d{1,5})?\Z')
SIZE = re.compile(r'[0-9]{1,15}\Z')
CHUNK = re.compile(rb'([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\Z')
WORDS = {s.value: f'HTTP/1.1 {s.value} {s.phrase}\r\n' for s in HTTPStatus}
# fields that may stand once only
ONCE = ('host', 'content-length', 'transfer-encoding')


class Bad(Exception):
    """A message that can't be read: (code, why)."""


def plain(raw):
    """(method, path, query, headers, keep-alive) of a header in the form that nearly all have; else None."""
    rows = raw.split(b'\r\n')
    m = FIRST.match(rows[0])
    if not m:
        return None
    heads = {}
    for r in rows[1:]:
        f = FIELD.match(r)
        if not f:
            return None
        k = f[1].decode('latin-1').lower()
        if k in heads:
            if k in ONCE:
                raise Bad('bad_http', k)
            heads[k] += ', ' + f[2].decode('latin-1').rstrip()
        else:
            heads[k] = f[2].decode('latin-1').rstrip()
    if not HOST.match(heads.get('host', '')):
        raise Bad('bad_http', 'Host')
    path, _, query = m[2].decode('latin-1').partition('?')
    if '#' in path or '#' in query:
        raise Bad('bad_http', 'a fragment')
    con = heads.get('connection')
    return m[1].decode(), path, query, heads, con is None or con.lower() != 'close'


def parsed(raw):
    """The same of any other header, by the library's parser."""
    # its package is a tenth of a program's memory, and most programs never meet such a header
    from circuits.web.parsers import HttpParser

    p = HttpParser(0, False)
    raw += b'\r\n\r\n'
    try:
        p.execute(raw, len(raw))
    except Exception as e:
        raise Bad('bad_http', type(e).__name__) from None
    if p.errno is not None or not p.is_headers_complete():
        raise Bad('bad_http', p.errstr or 'malformed')
    heads = {}
    for k, v in p.get_headers().items():
        k = k.lower()
        if k in heads and k in ONCE:
            raise Bad('bad_http', k)
        heads[k] = f'{heads[k]}, {v}' if k in heads else v
    path, query, new = p.get_path(), p.get_query_string(), p.get_version() >= (1, 1)
    if new and not HOST.match(heads.get('host', '')):
        raise Bad('bad_http', 'Host')
    # the library reads escapes in what it parses: lines and surrogates must not get in that way
    if not all(t.isascii() and t.isprintable() for t in (path, query, *heads.values())):
        raise Bad('bad_http', 'characters')
    return p.get_method(), path, query, heads, new and p.should_keep_alive()


def answer(status, raw, heads, keep, bare):
    """The bytes of one answer; `bare`: without its body, as HEAD wants it."""
    rows = [WORDS.get(status) or f'HTTP/1.1 {status} Answer\r\n']
    if status not in (204, 304):
        rows.append(f'Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n')
    else:
        raw = b''
    for k, v in (heads or {}).items():
        # a path that is given back must not bring lines of its own
        rows.append(f'{k}: {v}\r\n' if str(v).isprintable() else '')
    rows.append('\r\n' if keep else 'Connection: close\r\n\r\n')
    out = ''.join(rows).encode('latin-1', 'replace')
    return out if bare else out + raw
