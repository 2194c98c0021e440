"""What every command of `asterctl` shares."""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Optional

from cyclopts import Parameter, validators

from asterwharf.sickle.ask import Refused
from asterwharf.sickle.show import table

At = Annotated[Optional[str], Parameter(name='--at', help='addresses of doors, comma separated; else $ASTERWHARF_AT')]
Js = Annotated[bool, Parameter(name='--json', help='JSON instead of a table', negative=())]
Within = Annotated[
    Optional[float],
    Parameter(
        name='--within',
        validator=validators.Number(gte=0),
        help='seconds until what still runs is pushed out; without it nothing is',
    ),
]
# `-` is standard input
File = Annotated[Path, Parameter(allow_leading_hyphen=True)]


def doors(at):
    got = at or os.environ.get('ASTERWHARF_AT', '')
    if not got:
        raise Refused('no_reach', {'details': ['no address: give --at or set ASTERWHARF_AT']})
    return got.split(',')


def show(doc, key, cols, js):
    if js:
        print(json.dumps(doc, indent=1))
    else:
        print(table(doc[key], cols))


def read(file):
    """A JSON document from a file, or from standard input by `-`."""
    try:
        return json.load(sys.stdin if str(file) == '-' else open(file, encoding='utf-8'))
    except (OSError, ValueError) as e:
        raise Refused('bad_json', {'details': [f'{file}: {e}']}) from None
