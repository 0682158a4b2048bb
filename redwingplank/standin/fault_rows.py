"""Faults of one request to a service and the answers that may follow, by name, for tables of tests.

The times are for callers that wait `WAIT_S` for an answer.
"""

from dataclasses import dataclass

from redwingplank.standin.exchange_script import (
    Answer,
    AnswerPlan,
    Cut,
    EffectAfter,
    Ending,
    Exchange,
    NoEffect,
    ReadAll,
    ReadPart,
    Step,
    StopListening,
)

__all__ = ["FAULTS_BY_NAME", "REFUSAL_STATUSES", "WAIT_S", "Fault", "make_refusal"]

WAIT_S = 0.3
"""Seconds that the callers of a table wait for an answer."""
LATE_S = 0.5
"""Later than any caller waits."""
SHORT_S = 0.05
"""Well within the time that callers wait."""
PART_OF_HEAD = 20
PART_OF_BODY = 280
"""Bytes that end within the head, and within the body of a request with a long body."""
REFUSAL_STATUSES = (400, 403, 429, 503)
"""Statuses of the store that mean that nothing was done."""
_UNREADABLE = Answer(200, b"{nothing")


@dataclass(frozen=True, slots=True)
class Fault:
    """What a service does with a request, and the failure of a caller that it may lead to."""

    step: Step
    guards_against: str


def make_refusal(status: int, body: bytes = b"{}") -> Exchange:
    """Return the step that refuses a request, which has no effect."""
    return Exchange(effect=NoEffect(), answer=AnswerPlan(Answer(status, body)))


def _unread(count: int, ending: Ending) -> Exchange:
    return Exchange(ReadPart(count), NoEffect(), None, ending)


def _carried_out(ending: Ending, answer: AnswerPlan | None = None) -> Exchange:
    return Exchange(effect=EffectAfter(), answer=answer, ending=ending)


def _late(ending: Ending, answer: AnswerPlan | None = None) -> Exchange:
    return Exchange(effect=EffectAfter(LATE_S), answer=answer, ending=ending)


def _stalled(pause_at: int, pause_s: float) -> Exchange:
    return Exchange(ReadAll(pause_at, pause_s))


FAULTS_BY_NAME = {
    "connect refused": Fault(StopListening(), "a refused connect is taken for a sent call"),
    "unread, closed": Fault(
        _unread(0, Ending.CLOSE), "a kept connection that closes as the call is sent is refused"
    ),
    "unread, reset": Fault(
        _unread(0, Ending.RESET), "a reset is taken for a refused connect although bytes have left"
    ),
    "unread, silent": Fault(
        _unread(0, Ending.SILENT), "a time-out of sending is taken for one of connecting"
    ),
    "read late": Fault(
        _stalled(0, LATE_S), "a call in the buffers of the kernel is taken for never sent"
    ),
    "read after a pause": Fault(_stalled(0, SHORT_S), "a slow reader counts as unreachable"),
    "paused in the head, then read late": Fault(
        _stalled(PART_OF_HEAD, LATE_S), "a part of a call is thought to stay a part"
    ),
    "paused in the body, then read late": Fault(
        _stalled(PART_OF_BODY, LATE_S), "a part of a call is thought to stay a part"
    ),
    "part of the head, closed": Fault(
        _unread(PART_OF_HEAD, Ending.CLOSE), "a broken connection counts as a refusal"
    ),
    "part of the head, reset": Fault(
        _unread(PART_OF_HEAD, Ending.RESET), "a broken connection counts as a refusal"
    ),
    "part of the body, closed": Fault(
        _unread(PART_OF_BODY, Ending.CLOSE), "a broken connection counts as a refusal"
    ),
    "part of the body, reset": Fault(
        _unread(PART_OF_BODY, Ending.RESET), "a broken connection counts as a refusal"
    ),
    "carried out, closed": Fault(
        _carried_out(Ending.CLOSE), "a call without an answer is sent again and the copy decides"
    ),
    "carried out, reset": Fault(
        _carried_out(Ending.RESET), "a reset after the effect is taken for a refused connect"
    ),
    "carried out, silent": Fault(
        _carried_out(Ending.SILENT), "the refusal of a copy hides the effect of the call"
    ),
    "carried out, answered late": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(delay_s=LATE_S)),
        "a late answer is dropped and a refusal of a copy decides",
    ),
    "carried out, answered after a copy": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(delay_s=0.5 * WAIT_S)),
        "a refused copy drops the call whose answer is on its way",
    ),
    "carried out, answered in pieces": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(pieces=5, interval_s=0.01)),
        "an answer in pieces is read as another one",
    ),
    "carried out, answered in slow pieces": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(pieces=3, interval_s=LATE_S)),
        "an answer that stops is taken for none sent",
    ),
    "carried out, cut in the head": Fault(
        _carried_out(Ending.CLOSE, AnswerPlan(cut=Cut.IN_HEAD)), "half a status is read as a status"
    ),
    "carried out, reset in the head": Fault(
        _carried_out(Ending.RESET, AnswerPlan(cut=Cut.IN_HEAD)), "half a status is read as a status"
    ),
    "carried out, cut in the body": Fault(
        _carried_out(Ending.CLOSE, AnswerPlan(cut=Cut.IN_BODY)), "half an answer is read as whole"
    ),
    "carried out, silent in the body": Fault(
        _carried_out(Ending.SILENT, AnswerPlan(cut=Cut.IN_BODY)),
        "an answer that has begun drops the copies, and its loss is a refusal",
    ),
    "carried out, unreadable": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(_UNREADABLE)), "an unreadable answer is a refusal"
    ),
    "carried out, 500": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(Answer(500))), "a failure of the service is a refusal"
    ),
    "carried out, 502": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(Answer(502))), "a failure of a proxy is a refusal"
    ),
    "carried out, 504": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(Answer(504))), "a failure of a proxy is a refusal"
    ),
    "carried out, 408": Fault(
        _carried_out(Ending.KEEP, AnswerPlan(Answer(408))), "any status of a client is a refusal"
    ),
    "carried out later, silent": Fault(
        _late(Ending.SILENT), "a call that is carried out late is thought to be without effect"
    ),
    "carried out later, closed": Fault(
        _late(Ending.CLOSE), "a call that is carried out late is thought to be without effect"
    ),
    "carried out later, reset": Fault(
        _late(Ending.RESET), "a call that is carried out late is thought to be without effect"
    ),
    "carried out later, 500": Fault(
        _late(Ending.KEEP, AnswerPlan(Answer(500))), "a failure of the service is a refusal"
    ),
    "answered": Fault(Exchange(), "a call that succeeded is refused"),
    "400": Fault(make_refusal(400), "a refusal that is certain is taken for no answer"),
    "403": Fault(make_refusal(403), "a refusal that is certain is taken for no answer"),
    "429": Fault(make_refusal(429), "a refusal that is certain is taken for no answer"),
    "503": Fault(make_refusal(503), "a refusal that is certain is taken for no answer"),
    "404": Fault(make_refusal(404), "a lease that is gone says that earlier copies had no effect"),
    "500": Fault(make_refusal(500), "a failure of the service is a refusal"),
    "503 cut in the body": Fault(
        Exchange(
            effect=NoEffect(),
            answer=AnswerPlan(Answer(503), cut=Cut.IN_BODY),
            ending=Ending.CLOSE,
        ),
        "a refusal that breaks off raises an error of another type",
    ),
    "503 after a pause": Fault(
        Exchange(effect=NoEffect(), answer=AnswerPlan(Answer(503), delay_s=0.5 * WAIT_S)),
        "a late refusal decides for the copies sent in the meantime",
    ),
}
