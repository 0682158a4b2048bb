"""The event log does not block on a slow reader, and its size and rate are bounded."""

import os

from redwingplank.cell.eventlog import MAX_LINES_PER_EVENT, MAX_WAITING_LINES, EventLog


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
