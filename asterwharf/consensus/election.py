"""Elections: pre-votes, votes, and the change into a newer view. Pure."""

from asterwharf.consensus.leader import Leader
from asterwharf.consensus.log import Voter
from asterwharf.consensus.states import State

# of the silence bound: how long after a leader was heard no vote is given. A lease (LEASE in the controller of
# heartbeats) is shorter by more than clocks may differ in their rates.
VOTE_SILENCE = 0.9
# of the silence bound: over how long the candidacies of a group are spread that restarts as a whole
RESTART_SPREAD = 0.2


class Election:
    """The part of a replica that stands for election and votes."""

    __slots__ = ()

    def reset_election_timer(self):
        """Puts off the next candidacy by the silence bound and a random spread."""
        silence = self.settings.silence_ms
        # of a group that begins or begins again, the first to ask may lead; where one leads, it is heard before that
        ratio = 1 if self.leader_heard > self.started_at else self.settings.first_ratio
        spread = self.rng.random()
        due = self.now + int(silence * ratio * (1 + spread * self.settings.spread_ratio))
        # our own vote, too, is given only when no lease may stand
        lease_over = self.lease_possible_from + int(silence * (VOTE_SILENCE + spread * RESTART_SPREAD)) + 1
        self.election_due = max(due, lease_over)

    def _lease_may_stand(self):
        """Whether a leader may hold a lease that an answer of ours is part of."""
        heard = max(self.leader_heard, self.lease_possible_from)
        since = self.leadership.lease_start() if self.leadership else heard
        return self.now - since < self.settings.silence_ms * VOTE_SILENCE

    def _start_pre_vote(self):
        self.reset_election_timer()
        # a pre-vote first: a replica that was cut off must not drive the view up
        self.change_state(State.PRE_CANDIDATE, 'silence')
        self.leader, self.votes = '', {self.voter}
        for name in self.other_members():
            self.outbox.send(name, 'pre_vote', self._candidacy(self.view + 1))
        if self.is_quorum(self.votes):
            self.stand_for_election()

    def _candidacy(self, view):
        return {'grp': self.group, 'view': view, 'op': self.log.last, 'stamp': self.log.last_view}

    def _is_up_to_date(self, message):
        """Whether the candidate's log is at least as new and as long as ours."""
        return (message['stamp'], message['op']) >= (self.log.last_view, self.log.last)

    def on_pre_vote(self, source, message):
        """Answers whether a vote would be granted; changes nothing here."""
        if message['view'] <= self.view:
            # a replica with the newest log must learn of the newer view, or it would ask for the older one for ever
            self._reply_vote(source, False)
        ready = not self._lease_may_stand() and self.state != State.LEADER and not self.empty
        granted = ready and message['view'] > self.view and self._is_up_to_date(message)
        self.outbox.send(
            source,
            'pre_vote_reply',
            {'grp': self.group, 'view': message['view'], 'ok': granted, 'inc': self.incarnation},
        )

    def on_pre_vote_reply(self, source, message):
        """Counts a pre-vote; a majority makes this replica a candidate."""
        if self.state != State.PRE_CANDIDATE or message['view'] != self.view + 1:
            return
        if not message['ok'] or not self._is_known(source, message):
            return
        self.votes.add(Voter(source, message['inc']))
        if self.is_quorum(self.votes):
            self.stand_for_election()

    def _is_known(self, source, message):
        # a replica that lost its disk is another incarnation: its word counts for nothing yet
        return self.is_voter(source, message['inc'])

    def stand_for_election(self, appointed=False):
        """Enters the next view as a candidate and asks for votes; `appointed` by a leader that gave up its lease."""
        self.view, self.vote, self.votes = self.view + 1, self.name, set()
        self.save_meta()
        self.change_state(State.CANDIDATE, 'standing')
        self.reset_election_timer()
        for name in self.other_members():
            body = dict(self._candidacy(self.view), appointed=appointed)
            self.outbox.send_after_sync(name, 'request_vote', body)

    def on_request_vote(self, source, message):
        """Votes once a view, for a candidate whose log is not behind ours, when no other's lease may stand.

        A learner with a log votes as well: it may be a member by a change that it has not received yet. The vote
        counts only if the candidate's own membership names this incarnation.
        """
        if self.empty:
            return
        if self._lease_may_stand() and not message['appointed']:
            # the view stays as well: a leader that is heard goes on undisturbed
            return self._reply_vote(source, False)
        if message['view'] > self.view:
            self.enter_view(message['view'], '')
        free = message['view'] == self.view and self.vote in ('', source)
        granted = free and self.state in (State.FOLLOWER, State.LEARNER) and self._is_up_to_date(message)
        if granted and not self.vote:
            self.vote = source
            self.save_meta()
        if granted:
            self.reset_election_timer()
        self._reply_vote(source, granted)

    def _reply_vote(self, source, granted):
        body = {'grp': self.group, 'view': self.view, 'ok': granted, 'inc': self.incarnation}
        self.outbox.send_after_sync(source, 'vote_reply', body)

    def on_vote_reply(self, source, message):
        """Counts a vote."""
        if message['view'] > self.view:
            return self.enter_view(message['view'], '')
        if self.state != State.CANDIDATE or message['view'] != self.view:
            return
        if not message['ok'] or not self._is_known(source, message):
            return
        self.votes.add(Voter(source, message['inc']))
        self._count_votes()

    def _count_votes(self):
        # our own vote counts only once it is on our disk
        own = {self.voter} if self.outbox.clean else set()
        if self.state == State.CANDIDATE and own and self.is_quorum(self.votes | own):
            self.change_state(State.LEADER, 'majority')
            self.leader = self.name
            self.counters['views'] += 1
            self.leadership = Leader(self)
            self.leadership.open()

    def enter_view(self, view, leader):
        """Into a newer view, with `leader` where it is known, or under another leader of the same view."""
        if view > self.view:
            self.view, self.vote = view, ''
            self.save_meta()
        if self.state not in (State.LEARNER, State.FOLLOWER):
            self.change_state(State.FOLLOWER, f'view {view}')
        self.leader = leader
        self.reset_election_timer()

    def on_transfer_leadership(self, source, message):
        """Named by the leader: stands at once, without a pre-vote."""
        if self.state == State.FOLLOWER and message['view'] == self.view and source == self.leader:
            self.counters['handed'] += 1
            self.stand_for_election(appointed=True)

    def retake_leadership(self):
        """The successor that was named did not follow: this leader opens another view.

        It may not go on in its own: the successor may still stand, with votes that do not wait for a lease to end.
        In the next view only one of both is elected.
        """
        self.change_state(State.FOLLOWER, 'successor silent')
        self.stand_for_election(appointed=True)
