"""How `asterctl` speaks to the doors: any that answers will do."""

import http.client
import json
import os

from asterwharf.base.settings import address

# Statuses besides 5xx after which another door may still do what this one did not: request timeout, too many requests.
REQUEST_TIMEOUT, TOO_MANY_REQUESTS = 408, 429


def goes_on(status):
    """Whether a caller goes on to another door after this status: it is no clear refusal of the request itself."""
    return status >= 500 or status in (REQUEST_TIMEOUT, TOO_MANY_REQUESTS)


class Refused(Exception):
    """A result code that is not a success."""

    def __init__(self, code, body=None):
        super().__init__(code)
        self.code, self.body = code, body


def one(adr, method, path, doc=None, heads=(), ttl=15):
    """(status, document) of one door; OSError when it can't be reached."""
    hst, prt = address(adr)
    con = http.client.HTTPConnection(hst, prt, timeout=ttl)
    try:
        hds = dict(heads)
        if os.environ.get('ASTERWHARF_TOKEN'):
            hds['Authorization'] = 'Bearer ' + os.environ['ASTERWHARF_TOKEN']
        con.request(method, path, None if doc is None else json.dumps(doc).encode(), hds)
        res = con.getresponse()
        raw = res.read()
        return res.status, json.loads(raw) if raw else {}
    except (http.client.HTTPException, ValueError) as e:
        raise OSError(str(e)) from None
    finally:
        con.close()


def call(ads, method, path, doc=None, heads=()):
    """Asks door after door; raises Refused with the code of the last answer."""
    last = Refused('no_reach', {'details': [f'{a}: no answer' for a in ads]})
    for a in ads:
        if address(a) is None:
            raise Refused('bad_field', {'details': [f'--at: {a!r} is not IP:port']})
        try:
            sts, got = one(a, method, path, doc, dict(heads))
        except OSError:
            continue
        if sts < 300:
            return sts, got
        last = Refused(got.get('name', 'inner'), got)
        if not goes_on(sts):
            raise last
    raise last


def nodes(rows, holders):
    """Each node of the roll, asked for its own status."""
    out = []
    for r in rows:
        row = dict(
            r, answers=False, fit=False, sequence='', holds=','.join(g for g, n in holders.items() if n == r['name'])
        )
        if r['http']:
            try:
                _, got = one(r['http'], 'GET', '/status', ttl=2)
                row.update(answers=True, fit=got['fit'], sequence=got['sequence'])
            except (OSError, KeyError):
                pass
        out.append(row)
    return out
