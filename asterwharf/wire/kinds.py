"""Declares every kind of record; ids are never used again for another kind."""

from asterwharf.wire.schema import kind

_NODE = {'name': 's', 'role': 's', 'addr': 's', 'zone': 's', 'http': 's', 'inc': 's'}
# `calls`: where minions and operators call in
_CALLED = dict(_NODE, calls='s')
_DIR = {'k': 's', 'op': 'l', 'v': 'y'}
_STAMP = {'op': 'l', 'view': 'l'}
_ROUND = {'task': 's', 'round': 'l'}
_ENTRY = {'op': 'l', 'view': 'l', 'kind': 's', 'body': 'y'}

# --- meeting
kind(1, 'hello', dict(_NODE, proto='l', token='s'), (4, dict(_CALLED, proto='l', token='s')))
_ROLL = {'node': [_NODE], 'empty': 'b', 'inc': 's', 'known': 'S', 'holders': 'j'}
_MET = dict(_ROLL, met='S', node=[_CALLED])
# `clock`: the sender's steady clock in ms, by which deadlines of requests to it are told
# `met`: who is connected with the sender, whose word on their addresses is first hand
# `founder`: whether the sender may found, because its disk is that of the first start
kind(2, 'roll', _ROLL, (3, dict(_ROLL, met='S')), (4, _MET), (5, dict(_MET, clock='l', founder='b')))
kind(3, 'pulse', {'sequence': 'l'})
kind(4, 'suspect', {'name': 's', 'by': 's', 'gone': 'b'})
# --- replicated groups
kind(10, 'pre_vote', {'grp': 's', 'view': 'l', 'op': 'l', 'stamp': 'l'})
kind(11, 'pre_vote_reply', {'grp': 's', 'view': 'l', 'ok': 'b', 'inc': 's'})
_CANDIDACY = {'grp': 's', 'view': 'l', 'op': 'l', 'stamp': 'l'}
# `appointed`: the leader gave up its lease for this candidate
kind(12, 'request_vote', _CANDIDACY, (5, dict(_CANDIDACY, appointed='b')))
kind(13, 'vote_reply', {'grp': 's', 'view': 'l', 'ok': 'b', 'inc': 's'})
_APPEND = {'grp': 's', 'view': 'l', 'beat': 'l', 'prev': 'l', 'stamp': 'l', 'upto': 'l', 'entries': [_ENTRY]}
# `released`: the receiver's process, which was told to end, is not needed any more
kind(14, 'append', _APPEND, (5, dict(_APPEND, released='b')))
_APPEND_REPLY = {'grp': 's', 'view': 'l', 'beat': 'l', 'ok': 'b', 'op': 'l', 'inc': 's', 'wall': 'l', 'slow': 'b'}
# `leaving`: the sender's process was told to end
kind(15, 'append_reply', _APPEND_REPLY, (5, dict(_APPEND_REPLY, leaving='b')))
kind(
    16,
    'install_snapshot',
    {
        'grp': 's',
        'view': 'l',
        'op': 'l',
        'stamp': 'l',
        'seats': 'j',
        'part': 'l',
        'last': 'b',
        'rows': [{'k': 's', 'v': 'y'}],
    },
)
kind(17, 'snapshot_reply', {'grp': 's', 'view': 'l', 'op': 'l', 'part': 'l'})
kind(18, 'transfer_leadership', {'grp': 's', 'view': 'l'})
_JOIN_REQUEST = {'grp': 's', 'inc': 's', 'op': 'l'}
kind(19, 'join_request', _JOIN_REQUEST, (5, dict(_JOIN_REQUEST, leaving='b')))
# --- requests and news
_REQUEST = {'id': 's', 'grp': 's', 'op': 's', 'args': 'j', 'ttl': 'l', 'hops': 'l'}
# `deadline`: by the receiver's steady clock in ms; later than that it is not carried out (0: whenever it comes)
kind(30, 'request', _REQUEST, (5, dict(_REQUEST, deadline='l')))
kind(31, 'response', {'id': 's', 'code': 's', 'body': 'j', 'hint': 's'})
_ASK = {'id': 's', 'sequence': 'l', 'wait': 'l'}
kind(32, 'ask', _ASK, (2, dict(_ASK, dsequence='l')))
_NEWS = {'id': 's', 'sequence': 'l', 'doc': 'y', 'ok': 'b', 'hint': 's'}
kind(33, 'news', _NEWS, (2, dict(_NEWS, rows=[_DIR])))
# copies of the directory, compared by digests over ranges
kind(34, 'digests', (2, {'sums': 'S', 'sequence': 'l', 'back': 'b'}))
kind(35, 'mend', (2, {'rows': [_DIR], 'sequence': 'l', 'doc': 'y'}))
# --- the minion link, agent <-> edge <-> holder
kind(40, 'auth', {'token': 's'})
kind(41, 'authed', {'ok': 'b'})
kind(
    42,
    'register',
    {
        'minion': 's',
        'inc': 's',
        'zone': 's',
        'cores': 'd',
        'gpus': 'l',
        'mem': 'l',
        'labels': 'j',
        'drain': 'b',
        'inflight': [_ROUND],
        'edge': 's',
        'nonce': 'l',
        'stamp': 'l',
        'sequence': 'l',
    },
)
kind(
    43,
    'ack',
    {
        'minion': 's',
        'link': 'l',
        'nonce': 'l',
        'settings': 'j',
        'sequence': 'l',
        'emptied': 'b',
        'ok': 'b',
        'why': 's',
        'record': [dict(_ROUND, want='s', need='j', run='j')],
    },
)
kind(44, 'beat', {'minion': 's', 'link': 'l', 'n': 'l', 'stamp': 'l'})
kind(45, 'beaten', {'minion': 's', 'link': 'l', 'n': 'l', 'sequence': 'l', 'emptied': 'b', 'drain': 'b'})
kind(
    46,
    'order',
    {
        'minion': 's',
        'link': 'l',
        'what': 's',
        'task': 's',
        'round': 'l',
        'need': 'j',
        'run': 'j',
        'stamp': 'l',
        'sequence': 'l',
    },
)
kind(47, 'probe', {'minion': 's', 'link': 'l'})
kind(48, 'stamped', {'minion': 's', 'link': 'l', 'stamp': 'l'})
kind(
    49, 'status', {'minion': 's', 'link': 'l', 'stamp': 'l', 'items': [dict(_ROUND, n='l', what='s', why='s', at='l')]}
)
kind(50, 'statused', {'minion': 's', 'link': 'l', 'n': 'S'})
kind(51, 'tell', {'minion': 's', 'link': 'l', 'lines': [{'what': 's', 'at': 'l', 'text': 's'}]})
kind(52, 'drain', {'minion': 's', 'link': 'l', 'on': 'b', 'stamp': 'l'})
kind(53, 'down', {'minion': 's', 'link': 'l', 'why': 's', 'purpose': 'b'})
kind(54, 'attach', {'edge': 's', 'links': [{'minion': 's', 'link': 'l'}]})
kind(55, 'detach', {'minion': 's', 'link': 'l', 'why': 's'})
# --- changes of the core group
_CONFIG = {'sequence': 'l', 'base': 'l', 'by': 's', 'at': 'l', 'doc': 'y'}
# `sum`: the digest of the order; earlier releases know a configuration by its base alone
kind(100, 'c_config', _CONFIG, (5, dict(_CONFIG, sum='s')))
kind(101, 'c_node', dict(_NODE, sight='b'))
kind(102, 'c_cell', (2, {'name': 's', 'on': 'b', 'seats': 'j'}))
kind(103, 'c_own', (2, {'what': 's', 'was': 's', 'cell': 's'}))
kind(104, 'c_queues', (4, {'number': 'l', 'base': 'l', 'by': 's', 'at': 'l', 'sum': 's', 'doc': 'y'}))
kind(105, 'c_zone', (4, {'zone': 's', 'emptied': 'b', 'at': 'l'}))
# a row of earlier releases: the orders of queues documents that were accepted last
kind(106, 'r_taken', (4, {'rows': [{'sum': 's', 'number': 'l'}]}))
# a row: one accepted order, under its digest; `op`: the log position at which it was accepted
kind(107, 'r_order', (5, {'number': 'l', 'op': 'l'}))
# --- changes of a cell group
kind(120, 't_submit', {'tenant': 's', 'id': 's', 'sum': 's', 'spec': 'j', 'at': 'l'})
kind(121, 't_cancel', {'tenant': 's', 'id': 's', 'at': 'l'})
_PLACE = {'at': 'l', 'sequence': 'l', 'bundles': [{'items': [{'task': 's', 'round': 'l', 'minion': 's'}]}]}
# `apart`: nothing starts whose older round a connected minion still has; older seats know no such rule
kind(122, 't_place', _PLACE, (3, dict(_PLACE, apart='b')))
kind(
    123,
    't_register',
    {
        'minion': 's',
        'inc': 's',
        'edge': 's',
        'zone': 's',
        'cores': 'd',
        'gpus': 'l',
        'mem': 'l',
        'labels': 'j',
        'drain': 'b',
        'inflight': [_ROUND],
        'at': 'l',
    },
)
kind(124, 't_down', {'minion': 's', 'link': 'l', 'why': 's', 'purpose': 'b', 'at': 'l'})
_STATUS = {'minion': 's', 'link': 'l', 'at': 'l', 'items': [dict(_ROUND, n='l', what='s', why='s', at='l')]}
# `unheard`: the ending of a round given up without word counts while no newer round is delivered, and
# what is known to have ended done in any round is never started again
kind(125, 't_status', _STATUS, (3, dict(_STATUS, unheard='b')))
kind(126, 't_expire', {'at': 'l', 'items': [_ROUND]})
_DRAIN = {'minion': 's', 'on': 'b', 'by': 's', 'at': 'l'}
kind(127, 't_drain', _DRAIN, (3, dict(_DRAIN, until='l')))
kind(128, 't_config', {'sequence': 'l', 'emptied': 'S', 'at': 'l'})
kind(129, 't_evict', {'at': 'l', 'why': 's', 'items': [_ROUND]})
kind(130, 't_gone', {'minion': 's', 'at': 'l'})
kind(131, 't_forget', {'keys': 'S'})
# hand-over of tenants and minions between cells
kind(132, 't_leave', (2, {'tenant': 's', 'to': 's'}))
# `marks`: forgotten identifiers go along
kind(133, 't_release', (2, {'tenant': 's', 'to': 's'}), (3, {'tenant': 's', 'to': 's', 'marks': 'b'}))
kind(134, 't_import', (2, {'tenant': 's', 'was': 's', 'part': 'l', 'last': 'b', 'rows': [{'v': 'y'}]}))
kind(135, 't_handed', (2, {'what': 's'}))
kind(136, 't_yield', (2, {'minion': 's', 'to': 's'}))
# --- rows on disk
_TASK = {
    'name': 's',
    'state': 's',
    'round': 'l',
    'used': 'l',
    'tries': 'l',
    'minion': 's',
    'after': 'S',
    'due': 'l',
    'cores': 'd',
    'gpus': 'l',
    'mem': 'l',
    'gang': 's',
    'run': 'j',
    'why': 's',
    'pre': 's',
    'want': 's',
    'boot': 's',
    'hold': 'l',
    'avoid': 'S',
    'hist': 'S',
    'start': 'l',
    'end': 'l',
    'zones': 'S',
}
_JOB = {
    'tenant': 's',
    'id': 's',
    'sum': 's',
    'cls': 's',
    'at': 'l',
    'end': 'l',
    'fate': 's',
    'why': 's',
    'tasks': [_TASK],
}
kind(140, 'r_job', _JOB, (3, dict(_JOB, tasks=[dict(_TASK, won='l')])))
_MINION = {
    'name': 's',
    'inc': 's',
    'edge': 's',
    'zone': 's',
    'link': 'l',
    'up': 'b',
    'drain': 'b',
    'opdrain': 'b',
    'cores': 'd',
    'gpus': 'l',
    'mem': 'l',
    'labels': 'j',
    'why': 's',
    'at': 'l',
    'strays': [dict(_ROUND, cores='d', gpus='l', mem='l')],
}
kind(141, 'r_minion', _MINION, (3, dict(_MINION, until='l')))
_META = {'sequence': 'l', 'emptied': 'S', 'gone': 'S'}
kind(142, 'r_meta', _META, (2, dict(_META, leaving='j', yielded='j', owned='j')))
kind(143, 'r_dir', (2, _DIR))
kind(144, 'r_parcel', (2, {'tenant': 's', 'to': 's', 'rows': [{'v': 'y'}]}))
