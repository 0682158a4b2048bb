"""The event log does not block on a slow reader, and its size and rate are bounded."""

import os

import pytest

from redwingplank.cell.eventlog import (
    MAX_LINE_BYTES,
    MAX_LINES_PER_EVENT,
    MAX_REFUSALS_PER_EVENT,
    MAX_WAITING_LINES,
    REFUSALS,
    USUAL,
    EventLog,
)


class TestEventLog:
    def test_a_reader_that_stands_still_blocks_nothing(self):
        read, write = os.pipe()
        log = EventLog("n1", write)
        for number in range(200_000):
            log.write(number / 10, "submit", {"job": "x" * 100})
        assert log.dropped > 0
        assert log.lines < 200_000
        os.close(read)
        os.close(write)

    def test_a_flood_of_one_event_is_counted_and_left_out(self):
        read, write = os.pipe()
        log = EventLog("n1", write)
        for _ in range(MAX_LINES_PER_EVENT + 40):
            log.write(5.0, "submit", {})
        log.write(5.1, "stop", {})
        log.write(6.0, "stop", {})
        lines = os.read(read, 1 << 20).decode().splitlines()
        assert sum("event=submit" in line for line in lines) == MAX_LINES_PER_EVENT
        assert any("event=events_left_out n_submit=40" in line for line in lines)
        assert sum("event=stop" in line for line in lines) == 2
        assert MAX_WAITING_LINES > MAX_LINES_PER_EVENT
        os.close(read)
        os.close(write)


class Reader:
    """Writes to a log and collects what it has written."""

    def __init__(self) -> None:
        self._read, self._write = os.pipe()
        os.set_blocking(self._read, False)
        self._data = b""
        self.log = EventLog("n1", self._write)

    def write(self, now_s, event, fields, limits=USUAL):
        self.log.write(now_s, event, fields, limits)
        self.read()

    def read(self) -> None:
        while True:
            self.log.flush()
            try:
                self._data += os.read(self._read, 1 << 16)
            except BlockingIOError:
                return

    def lines(self, text: str = "") -> list[str]:
        self.read()
        return [line for line in self._data.decode().splitlines() if text in line]

    def close(self) -> None:
        os.close(self._read)
        os.close(self._write)


@pytest.fixture
def reader():
    reader = Reader()
    yield reader
    reader.close()


class TestBounds:
    """Pattern: a burst of submissions, refused and accepted, within one second."""

    # Guards against a log that grows with the number and length of refusals.
    def test_500_refusals_in_a_second_are_bounded_in_lines_and_bytes(self, reader):
        for number in range(500):
            reader.write(5.0, "submit", {"job": number, "copies": "x" * 3000}, REFUSALS)
        reader.write(6.0, "stop", {})
        refused = reader.lines("event=submit ")
        written_bytes = sum(len(line) + 1 for line in refused)
        assert REFUSALS.size_bytes - MAX_LINE_BYTES < written_bytes <= REFUSALS.size_bytes
        (left_out,) = reader.lines("event=events_left_out")
        assert f"n_refused_submit={500 - len(refused)}" in left_out

    def test_500_short_refusals_in_a_second_are_bounded_in_lines(self, reader):
        for number in range(500):
            reader.write(5.0, "submit", {"job": number}, REFUSALS)
        assert len(reader.lines()) == MAX_REFUSALS_PER_EVENT

    # Guards against many events, each within its own limit, that flood the log together.
    def test_lines_of_all_events_are_bounded(self, reader):
        for limits in (USUAL, REFUSALS):
            for number in range(20_000):
                reader.write(5.0, f"event{number % 100}", {}, limits)
        assert len(reader.lines()) == USUAL.lines + REFUSALS.lines

    # Guards against a value of any length in one line.
    def test_a_long_line_is_cut(self, reader):
        reader.write(5.0, "submit", {"error": "\N{SNOWMAN}" * MAX_LINE_BYTES})
        (line,) = reader.lines()
        assert line.endswith("...cut")
        assert len(line.encode()) < MAX_LINE_BYTES


class TestRefusals:
    # Guards against a refusal that is left out because 60 accepted submissions came before it.
    def test_are_not_crowded_out_by_accepted_submissions(self, reader):
        for number in range(2000):
            reader.write(5.0, "submit", {"job": number, "outcome": "accepted"})
        for number in range(100):
            reader.write(5.5, "submit", {"job": number, "outcome": "not_run"}, REFUSALS)
        assert len(reader.lines("accepted")) == MAX_LINES_PER_EVENT
        assert len(reader.lines("not_run")) == 100

    # Guards against the same where a slow reader leaves no place for further lines.
    def test_find_a_place_among_the_lines_that_wait(self, reader):
        log = reader.log
        for number in range(MAX_WAITING_LINES * 10):
            log.write(number, "stop", {"text": "x" * 100})
        dropped = log.dropped
        assert dropped
        now_s = float(MAX_WAITING_LINES * 10 - 1)
        log.write(now_s, "submit", {"job": "refused1"}, REFUSALS)
        assert log.dropped == dropped
        assert reader.lines("job=refused1")
