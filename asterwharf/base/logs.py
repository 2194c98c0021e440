"""Logs: absl.logging as JSON lines on standard error."""

import json
import logging as std
import sys
import time

from absl import flags, logging

from asterwharf.base.alarms import TABLE

LEVELS = {'debug': logging.DEBUG, 'info': logging.INFO, 'warning': logging.WARNING, 'error': logging.ERROR}


class Lines(std.Formatter):
    """One JSON object a line; fields given as `extra={'f': {...}}` lie flat in it."""

    def __init__(self, who):
        super().__init__()
        self.who = who

    def format(self, rec):
        row = {
            'at': time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(rec.created)) + f'.{int(rec.msecs):03d}Z',
            'level': rec.levelname.lower(),
            'node': self.who,
            'event': rec.getMessage(),
        }
        row.update(getattr(rec, 'f', {}))
        if rec.exc_info:
            row['trace'] = self.formatException(rec.exc_info)
        return json.dumps(row, default=str)


def setup(who, level):
    # absl wants its own flags parsed before it logs in peace; ours are read elsewhere
    if not flags.FLAGS.is_parsed():
        flags.FLAGS([who])
    hnd = logging.get_absl_handler()
    hnd.setFormatter(Lines(who))
    logging.use_absl_handler()
    hnd.python_handler.stream = sys.stderr
    logging.set_verbosity(LEVELS[level])


def say(lvl, evt, **kws):
    """One line: what happened, and its fields."""
    if evt == 'alarm':
        kws = {'number': TABLE[kws['alarm']][0], **kws}
    logging.get_absl_logger().log(LEVEL_STD[lvl], evt, extra={'f': kws})


LEVEL_STD = {'debug': std.DEBUG, 'info': std.INFO, 'warning': std.WARNING, 'error': std.ERROR}
