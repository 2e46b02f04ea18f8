"""Steps for probes and renewals of the connections to the store, in played time."""

from collections import Counter

from behave import given, then, when

from sequoiaglade_decisions.gateway import ContactStep, StoreCall, StoreContact

TICK_SECONDS = 0.05
PROBE_TIMEOUT_SECONDS = 1.0
ANSWER_SECONDS = 0.05
START = 100.0


class ContactPlay:
    """Plays the time of a `StoreContact` in small steps.

    `answers` tells whether a probe is answered, by the time at which its connection was
    opened.
    """

    def __init__(self):
        self.now = START
        self.contact = StoreContact()
        self.answers = lambda connected_at: True
        self.keeps_connection = True
        self.steps = Counter()
        self.renewed_at = None
        self._probe_opened_at = None
        self._probe = None

    def run(self, seconds, on_tick=lambda: None):
        end = self.now + seconds
        while self.now < end:
            on_tick()
            self._end_probe()
            if self._probe is None:
                self._take_step()
            self.now += TICK_SECONDS

    def call(self, connected_at, seconds, is_answered):
        """Note a call that ends now."""
        sent_at = self.now - seconds
        self.contact.note_call(StoreCall(connected_at, sent_at, self.now, is_answered))

    def forget_steps(self):
        self.steps.clear()
        self.renewed_at = None

    def _take_step(self):
        step, _ = self.contact.next_step(self.now)
        self.steps[step] += 1
        if step is ContactStep.RENEW:
            self.renewed_at = self.renewed_at or self.now
            self._probe_opened_at = None
        elif step is ContactStep.PROBE:
            if self._probe_opened_at is None or not self.keeps_connection:
                self._probe_opened_at = self.now
            is_answered = self.answers(self._probe_opened_at)
            seconds = ANSWER_SECONDS if is_answered else PROBE_TIMEOUT_SECONDS
            ended_at = self.now + seconds
            self._probe = StoreCall(
                self._probe_opened_at, self.now, ended_at, is_answered, True
            )

    def _end_probe(self):
        if self._probe is not None and self._probe.ended_at <= self.now:
            self.contact.note_call(self._probe)
            self._probe = None


@given("connections to the store that were proved sound")
def given_sound(context):
    context.play = ContactPlay()
    context.play.run(1.0)
    assert context.play.steps[ContactStep.PROBE] == 1
    context.play.forget_steps()


@when("calls on an older connection are answered every 2 seconds for 60 seconds")
def answer_calls(context):
    for _ in range(30):
        context.play.run(2.0)
        context.play.call(START, ANSWER_SECONDS, True)


@when("all connections fall silent and calls on new ones are answered")
def silence_all(context):
    play = context.play
    context.event_at = silent_at = play.now
    play.answers = lambda connected_at: connected_at > silent_at
    play.run(6.0, lambda: play.call(play.now - 0.01, 0.01, True))


@when("a call on an older connection times out after {seconds:g} seconds")
def time_out(context, seconds):
    play = context.play
    play.run(1.5)
    context.event_at = play.now
    play.call(START, seconds, False)
    play.run(1.0)


@when("calls that were sent before the renewal time out after it")
def time_out_later(context):
    play = context.play
    play.run(0.5)
    play.call(START, play.now - play.renewed_at + 0.5, False)
    play.run(0.5)


@when(
    "a call that was sent {delay:g} seconds after the renewal"
    " times out after {seconds:g} seconds"
)
def time_out_after_renewal(context, delay, seconds):
    play = context.play
    sent_at = play.renewed_at + delay
    play.forget_steps()
    play.run(sent_at + seconds - play.now)
    play.call(sent_at, play.now - sent_at, False)
    play.run(2.0)
    context.event_at = sent_at


@then(
    "the connections are renewed again within {seconds:g} seconds"
    " after the call was sent"
)
def check_second_renewal(context, seconds):
    check_renewal(context, seconds)


@when("the store answers nothing for 60 seconds, and 20 calls a second time out")
def answer_nothing(context):
    play = context.play
    play.answers = lambda connected_at: False
    play.run(60.0, lambda: play.call(play.now - 1.0, 1.0, False))


@when("each probe is answered on a new connection for 60 seconds")
def answer_on_new_connections(context):
    context.play.keeps_connection = False
    context.play.run(60.0)


@then("the connections are renewed within {seconds:g} seconds")
def check_renewal(context, seconds):
    play = context.play
    assert play.renewed_at is not None
    assert play.renewed_at - context.event_at <= seconds, play.renewed_at


@then("there were {probes:d} probes and {renewals:d} renewals")
def check_steps(context, probes, renewals):
    steps = context.play.steps
    assert steps[ContactStep.PROBE] == probes, steps
    assert steps[ContactStep.RENEW] == renewals, steps


@then("there were {least:d} to {most:d} probes and {fewest:d} to {maximum:d} renewals")
@then("there were {least:d} to {most:d} probes and {fewest:d} renewals")
def check_step_ranges(context, least, most, fewest, maximum=None):
    steps = context.play.steps
    assert least <= steps[ContactStep.PROBE] <= most, steps
    maximum = fewest if maximum is None else maximum
    assert fewest <= steps[ContactStep.RENEW] <= maximum, steps
