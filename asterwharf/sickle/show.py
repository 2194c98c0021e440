"""Tables for a terminal."""


def _cell(row, col):
    for k in col.split('.'):
        row = row.get(k, '') if isinstance(row, dict) else ''
    if isinstance(row, bool):
        return 'yes' if row else 'no'
    return str(row)


def table(rows, cols):
    """Columns as wide as they need to be."""
    got = [[c.replace('.', ' ') for c in cols]] + [[_cell(r, c) for c in cols] for r in rows]
    wid = [max(len(r[i]) for r in got) for i in range(len(cols))]
    return '\n'.join('  '.join(v.ljust(w) for v, w in zip(r, wid)).rstrip() for r in got)
