"""Names that have been replaced and still work, each for one release; docs/glossary.md lists them for operators."""

import sys

# old command: what to call instead
COMMANDS = {
    'trellis': 'asterwharf controller',
    'furrow serve': 'asterwharf edge',
    'furrow tend': 'asterwharf agent',
    'sickle': 'asterctl',
}


def warn(command):
    """Says on standard error that a command has a new name; the command then runs as before."""
    print(f'`{command}` is now `{COMMANDS[command]}`; the old name goes with the next release', file=sys.stderr)
