"""Names that have been replaced and still work, each for one release; docs/glossary.md lists them for operators."""

import sys

# old command: what to call instead
COMMANDS = {
    'trellis': 'asterwharf controller',
    'furrow serve': 'asterwharf edge',
    'furrow tend': 'asterwharf agent',
    'sickle': 'asterctl',
}
# old key of a settings file: its key now; a key of a table stands behind the table's name
SETTINGS = {
    'errand_ms': 'request_ms',
    'buffer': 'request_limit',
    'link.tenure_ratio': 'link.lease_ratio',
}


def renamed(doc):
    """The settings under their names of today, and a mistake for each that is given under both names; says old names on standard error."""
    doc, mistakes = {k: dict(v) if isinstance(v, dict) else v for k, v in doc.items()}, []
    for old, new in SETTINGS.items():
        table, _, key = old.rpartition('.')
        part = doc.get(table) if table else doc
        if not isinstance(part, dict) or key not in part:
            continue
        name = new.rpartition('.')[2]
        if name in part:
            mistakes.append(f'{old}: the old name of {new}, which is given, too')
            continue
        part[name] = part.pop(key)
        print(f'setting `{old}` is now `{new}`; the old name goes with the next release', file=sys.stderr)
    return doc, mistakes


def warn(command):
    """Says on standard error that a command has a new name; the command then runs as before."""
    print(f'`{command}` is now `{COMMANDS[command]}`; the old name goes with the next release', file=sys.stderr)
