"""Random scripts of faults for searches; the seed and the number of examples can be set."""

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st

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
    StopListening,
)
from redwingplank.standin.fault_rows import REFUSAL_STATUSES, WAIT_S
from redwingplank.standin.tcp_proxy import ConnectionPlan, Fault, FlowPlan

SEED = int(os.environ.get("REDWINGPLANK_FAULT_SEED", "42"))
EXAMPLES = int(os.environ.get("REDWINGPLANK_FAULT_EXAMPLES", "6"))
SEARCH = settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    # A failing example is printed whole; making it smaller would take minutes of real time.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
MAX_REQUEST_BYTES = 1200
MAX_PEER_BYTES = 700

times_s = st.sampled_from([0.0, 0.01, 0.05, 0.5 * WAIT_S, 1.2 * WAIT_S])
endings = st.sampled_from(Ending)
no_results = st.sampled_from([404, 408, 409, 410, 500, 502, 504]).map(Answer)
refusals = st.sampled_from(REFUSAL_STATUSES).map(Answer)
unreadable = st.sampled_from([Answer(200, b""), Answer(200, b"{nothing"), Answer(412, b"[")])
"""Unreadable bodies of answers; `Answer(412, b"{}")` would say that nothing was found."""


def make_answer_plans(answers: st.SearchStrategy[Answer | None]) -> st.SearchStrategy[AnswerPlan]:
    return st.builds(
        AnswerPlan,
        answers,
        delay_s=times_s,
        pieces=st.integers(1, 6),
        interval_s=st.sampled_from([0.0, 0.02, 1.2 * WAIT_S]),
        cut=st.sampled_from([Cut.NONE, Cut.NONE, *Cut]),
    )


readings = st.one_of(
    st.just(ReadAll()),
    st.builds(ReadAll, st.integers(0, MAX_REQUEST_BYTES), times_s),
)
unread = st.builds(
    Exchange,
    st.builds(ReadPart, st.integers(0, MAX_REQUEST_BYTES)),
    st.just(NoEffect()),
    st.none(),
    st.sampled_from([Ending.CLOSE, Ending.RESET, Ending.SILENT]),
)
without_effect = st.builds(
    Exchange,
    readings,
    st.just(NoEffect()),
    st.one_of(st.none(), make_answer_plans(refusals | refusals | no_results)),
    endings,
)
with_effect = st.builds(
    Exchange,
    readings,
    st.builds(EffectAfter, times_s),
    st.one_of(st.none(), make_answer_plans(st.none() | no_results | unreadable)),
    endings,
)
"""A call that is carried out is never answered with a refusal: the store says so truly."""
exchanges = st.one_of(unread, without_effect, with_effect)
steps = st.one_of(exchanges, exchanges, exchanges, st.just(StopListening()))

flow_plans = st.one_of(
    st.just(FlowPlan()),
    st.builds(
        FlowPlan,
        st.integers(0, MAX_PEER_BYTES),
        st.sampled_from(Fault),
        st.sampled_from([0.05, 0.4]),
    ),
)
connection_plans = st.builds(ConnectionPlan, flow_plans, flow_plans)
