"""Result codes: the one table of what can be said to a caller or an operator."""

from asterwharf.base.fields import Field, Plot

TABLE = {}


class Code(Plot):
    """One numbered code: HTTP status, exit status of `asterctl`, words and remedy."""

    num = Field(int)
    nam = Field(str)
    http = Field(int)
    text = Field(str)
    cure = Field(str)

    @property
    def exit(self):
        # exit statuses group by hundreds: 0 well, 2 caller's, 3 state, 4 come again, 5 ours
        return {1: 0, 2: 2, 3: 3, 4: 4}.get(self.num // 100, 5)


def _c(num, nam, http, text, cure):
    TABLE[nam] = Code(num=num, nam=nam, http=http, text=text, cure=cure)


_c(100, 'ok', 200, 'Done.', 'Nothing to do.')
_c(101, 'taken', 201, 'Accepted and kept by a majority.', 'Ask for its state under the same identifier.')
_c(102, 'under_way', 202, 'Accepted; not finished yet.', 'Ask again after Retry-After.')
_c(103, 'same', 200, 'Already kept; the same request again.', 'Nothing to do.')
_c(104, 'no_news', 304, 'Nothing newer than the sequence you have.', 'Ask again.')
_c(200, 'bad_json', 400, 'The body is not well-formed JSON.', 'Send one JSON object in UTF-8.')
_c(201, 'bad_field', 400, 'A field is unknown, missing or of the wrong type.', 'Correct the fields listed.')
_c(202, 'too_large', 413, 'The body is larger than this deployment takes.', 'Send less; see settings.md, max_body.')
_c(203, 'no_path', 404, 'There is nothing at this path.', 'See http.md for the paths.')
_c(204, 'bad_method', 405, 'This path does not take this method.', 'See http.md; the Allow header lists the methods.')
_c(205, 'bad_graph', 400, 'The steps name an unknown step or form a cycle.', 'Correct `after` in the tasks listed.')
_c(206, 'bad_size', 400, 'A size is negative, zero or above the declared limits.', 'Correct the sizes listed.')
_c(207, 'bad_policy', 400, 'A placement policy does not compile or is too large.', 'Correct the program listed.')
_c(208, 'bad_config', 400, 'The configuration contradicts itself.', 'Correct the paths listed.')
_c(
    209,
    'need_match',
    428,
    'A configuration needs If-Match with the sequence it is based on.',
    'Get it first; send its sequence.',
)
_c(210, 'bad_http', 400, 'The HTTP message is malformed.', 'Send well-formed HTTP/1.1.')
_c(211, 'bad_token', 401, 'The token is missing or wrong.', 'Use the token of the settings.')
_c(
    212,
    'bad_frame',
    400,
    'A frame on the wire is truncated, foreign or unknown.',
    'Check that both ends are asterwharf.',
)
_c(213, 'bad_settings', 400, 'The settings file has mistakes.', 'Correct the paths listed.')
_c(215, 'bad_trial', 400, 'A trial names what does not exist.', 'Correct the variant, mechanism or file listed.')
_c(216, 'bad_report', 400, 'A report of the bench is wrong or cut short.', 'Play it again; no figure is taken from it.')
_c(300, 'unknown_job', 404, 'No job is kept under this identifier.', 'Check tenant and identifier, or submit it.')
_c(301, 'other_body', 409, 'Another body is kept under this identifier.', 'Choose a new identifier.')
_c(
    302,
    'forgotten',
    410,
    'The job ended long ago and was forgotten.',
    'See limits.md for how long ended jobs are kept.',
)
_c(303, 'stale', 412, 'The configuration has moved on.', 'Get the present one and redo the change.')
_c(304, 'unknown_tenant', 404, 'No such tenant in the configuration in force.', 'Add it to the configuration.')
_c(305, 'unknown_minion', 404, 'No such minion is known.', 'See `asterctl minions`.')
_c(306, 'unknown_zone', 404, 'No such zone in the configuration in force.', 'See `asterctl config get`.')
_c(307, 'last_zone', 409, 'This would empty the last zone.', 'Restore another zone first.')
_c(308, 'ended', 409, 'The job has ended; there is nothing to cancel.', 'Ask for its state.')
_c(309, 'beyond_limits', 400, 'The shape is above what the configuration lets a task ask for.', 'Ask for less.')
_c(
    310,
    'no_history',
    404,
    'This sequence is not in the history.',
    'See `asterctl config log`; a core node needs a data folder to keep any.',
)
_c(311, 'unknown_cell', 404, 'No such cell.', 'See `asterctl cells`.')
_c(312, 'in_sight', 409, 'The seat is in sight and keeps its place.', 'Stop that process first, if it is really to go.')
_c(313, 'unknown_seat', 404, 'No such seat, or the newcomer has one already.', 'See `asterctl seats`.')
_c(
    314,
    'not_there',
    409,
    'The newcomer is not in sight of the holder.',
    'Start it with the seeds of the others, then ask again.',
)
_c(315, 'promised', 409, 'That seat was given to another newcomer.', 'See `asterctl seats`.')
_c(
    316,
    'unknown_queue',
    404,
    'No queue of the document in force is at this host and path.',
    'See `asterctl queues list`.',
)
_c(400, 'overload', 503, 'The buffer is full.', 'Come again after Retry-After.')
_c(401, 'no_holder', 503, 'No holder can confirm this now.', 'Come again after Retry-After.')
_c(402, 'unsure', 504, 'The outcome is not known.', 'Send the same request again.')
_c(403, 'leaving', 503, 'This process is leaving.', 'Use another edge.')
_c(404, 'tenant_full', 503, "The tenant's buffer is full.", 'Come again after Retry-After.')
_c(405, 'not_ready', 503, 'This process is not ready yet.', 'Come again after Retry-After.')
_c(406, 'moving', 503, 'The tenant is on its way to another cell.', 'Come again after Retry-After.')
_c(407, 'elsewhere', 307, 'Another node answers for this.', 'Follow Location.')
_c(408, 'no_config', 503, 'No queues document has reached this node yet.', 'Come again after Retry-After.')
_c(409, 'late', 503, 'It came after its deadline and was not carried out.', 'Send the same request again.')
_c(500, 'inner', 500, 'A fault of ours; nothing was changed by this process.', 'Report it with the log line.')
_c(501, 'corrupt', 500, 'The data folder is corrupt.', 'See the runbook "disk wiped".')
_c(
    502,
    'policy_trouble',
    500,
    'A placement policy failed while judging.',
    'The candidate counts as "no"; correct the policy.',
)
_c(503, 'no_reach', 500, 'No node could be reached.', 'Check addresses and that the fleet runs.')
_c(504, 'no_bind', 500, 'An address could not be bound.', 'See who listens there already.')


class Trouble(Plot):
    """What went wrong: a code, and the fields or paths that it concerns."""

    code = Field(str)
    more = Field(list, list)

    @property
    def row(self):
        return TABLE[self.code]

    def body(self):
        r = self.row
        return {'code': r.num, 'name': r.nam, 'text': r.text, 'cure': r.cure, 'details': self.more}


def trouble(cod, *mor):
    return Trouble(code=cod, more=list(mor))


def table():
    """The table of docs/codes.md, made from this one place."""
    out = [
        '# Result codes',
        '',
        'Made by `python -m asterwharf.base.codes > docs/codes.md`; a test keeps them equal.',
        '',
        'Every answer in JSON that is not a plain success carries `code`, `name`, `text`, `cure` and `details`.',
        '`asterctl` leaves with the exit status of the code.',
        '',
        '| code | name | HTTP | exit | meaning | remedy |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for c in TABLE.values():
        out.append(f'| {c.num} | {c.nam} | {c.http} | {c.exit} | {c.text} | {c.cure} |')
    return '\n'.join(out) + '\n'


if __name__ == '__main__':
    print(table(), end='')
