"""The changes and rows of the cell whose minions call in, known since protocol 4."""

from asterwharf.wire.schema import kind

_QUEUE = {'name': 's', 'group': 's', 'priority': 'l', 'tries': 'l', 'stretch': 'd', 'aim_ms': 'd'}
_RUN = {'task': 's', 'run': 'l'}
# `place`: host and prefix, by which clients know a queue; its name is the operators'
_PLACED_QUEUE = dict(_QUEUE, place='s')
# what minions and clients tell is bounded by their listeners; the steps of a job are JSON, as its client sent them
_SUBMIT = {'id': 's', 'queue': [_QUEUE], 'spec': 'j', 'sum': 's', 'at': 'l'}
kind(160, 'y_submit', (4, _SUBMIT), (6, dict(_SUBMIT, queue=[_PLACED_QUEUE])))
_CANCEL = {'id': 's', 'queue': 's', 'at': 'l'}
kind(161, 'y_cancel', (4, _CANCEL), (6, dict(_CANCEL, place='s')))
kind(162, 'y_due', (4, {'items': [{'id': 's', 'k': 'l'}], 'at': 'l'}))
kind(163, 'y_start', (4, {'at': 'l', 'bundles': [{'items': [dict(_RUN, mid='s')]}]}))
kind(164, 'y_end', (4, {'at': 'l', 'mid': 's', 'items': [dict(_RUN, how='s', save='s')]}))
_LAPSE = {'at': 'l', 'items': [dict(_RUN, mid='s', how='s', save='s')]}
# `late`: an end of these runs that is told later counts, however they were given up
kind(165, 'y_lapse', (4, _LAPSE), (6, dict(_LAPSE, late='b')))
kind(166, 'y_stop', (4, {'at': 'l', 'items': [_RUN]}))
kind(167, 'y_forget', (4, {'ids': 'S'}))
kind(168, 'y_drain', (4, {'minion': 's', 'on': 'b', 'by': 's', 'at': 'l', 'until': 'l'}))
kind(169, 'y_place', (6, {'queues': [{'name': 's', 'place': 's'}]}))
kind(170, 'r_yard', (4, {'v': 'j'}))
kind(171, 'r_drain', (4, {'minion': 's', 'by': 's', 'at': 'l', 'until': 'l'}))
