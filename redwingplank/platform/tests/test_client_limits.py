"""Limits of an HTTP connection, each at its bound, on real connections."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from redwingplank.platform.http.limits import DEFAULT_LIMITS, HttpLimits, Refusal, make_limits
from redwingplank.platform.http.server import serve_http
from redwingplank.standin.loopback import find_free_address

LIMITS = HttpLimits(head_bytes=1024, header_lines=8, path_bytes=64, blank_bytes=4)
GET = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
TIMEOUT_S = 20.0
SLOW_ANSWER_BYTES = 16 << 20
"""More than the buffers of a connection hold."""


class Application:
    """Answers each request with its path and body, after it was told to go on."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.paths = []
        self._has_arrived = asyncio.Event()

    async def until_arrived(self, count):
        """Wait until so many requests have arrived."""
        while len(self.paths) < count:
            self._has_arrived.clear()
            await self._has_arrived.wait()

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        self.paths.append(scope["path"])
        self._has_arrived.set()
        await self.may_answer.wait()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": scope["path"].encode() + b" " + body})


@asynccontextmanager
async def serve(limits, on_refusal):
    application, address = Application(), find_free_address()
    server = await serve_http(application, [address], 0, limits, on_refusal)
    host, _, port = address.rpartition(":")
    opened = []

    async def connect():
        reader, writer = await asyncio.open_connection(host, int(port))
        opened.append(writer)
        return reader, writer

    try:
        yield application, connect
    finally:
        for writer in opened:
            writer.close()
        server.abort()
        await server.stop()


def run(scenario, limits=LIMITS):
    """Run a scenario against a server, and return the reasons of its refusals."""
    refusals = []

    async def serve_and_run():
        async with serve(limits, refusals.append) as (application, connect):
            await scenario(application, connect)

    asyncio.run(asyncio.wait_for(serve_and_run(), TIMEOUT_S))
    return refusals


def exchange(request, limits=LIMITS):
    """Send bytes on a connection and return all that is answered until it is closed."""
    answers = []

    async def scenario(_, connect):
        reader, writer = await connect()
        writer.write(request)
        answers.append(await reader.read())

    run(scenario, limits)
    return answers[0]


async def is_ended(reader):
    """Wait until a connection has ended; return whether that was without an answer."""
    try:
        return await reader.read() == b""
    except ConnectionError:
        return True


def status_of(answer):
    return int(answer.split()[1])


async def send_without_end(writer, part):
    while True:
        writer.write(part)
        await writer.drain()


class TestHead:
    @pytest.mark.parametrize(
        ("request_bytes", "status"),
        [
            (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 8 + b"\r\n", 431),
            (b"GET / HTTP/1.1\r\nHost: x\r\na: " + b"b" * 2048, 431),
            (b"GET /" + b"b" * 2048, 431),
            (b"GET /" + b"b" * 64 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 414),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"\r\n\r\n\r\n", 400),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"b" * 2048,
                431,
            ),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: "
                + b"b" * 2048,
                431,
            ),
        ],
        ids=["lines", "header", "line", "path", "no-host", "blank", "chunk", "trailer"],
    )
    def test_beyond_a_limit_is_refused_and_the_connection_closed(self, request_bytes, status):
        assert status_of(exchange(request_bytes)) == status

    # Guards against limits that a request at them meets.
    @pytest.mark.parametrize(
        "request_bytes",
        [
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + b"a: b\r\n" * 6 + b"\r\n",
            b"GET /" + b"b" * 63 + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            b"\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            b"GET http://x/a?b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\nmore",
        ],
        ids=["lines", "path", "blank", "whole-url", "more-after-the-last"],
    )
    def test_within_the_limits_is_served(self, request_bytes):
        assert status_of(exchange(request_bytes)) == 200

    # Guards against 400 in place of the answer to the next request, for an empty line that some
    # clients send behind a body.
    @pytest.mark.parametrize("lines", [b"\r\n", b"\r\n\r\n", b"\n"])
    def test_empty_lines_behind_a_body_are_skipped(self, lines):
        post = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
        last = b"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        answers = exchange(post + lines + last)
        assert answers.count(b"HTTP/1.1 200 ") == answers.count(b"HTTP/1.1 ") == 2
        answers = exchange(post + lines + post + lines + last)
        assert answers.count(b"HTTP/1.1 200 ") == answers.count(b"HTTP/1.1 ") == 3

    def test_a_lone_empty_line_behind_a_body_keeps_the_connection(self):
        async def scenario(_, connect):
            reader, writer = await connect()
            writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab\r\n")
            await reader.readuntil(b"/a ab")
            writer.write(GET % 1)
            await reader.readuntil(b"/1 ")

        assert run(scenario) == []

    def test_too_many_empty_lines_behind_a_body_are_refused(self):
        post = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
        answers = exchange(post + b"\r\n" * 1000)
        assert b"HTTP/1.1 400 " in answers

    def test_that_does_not_arrive_in_time_is_refused(self):
        answer = exchange(b"GET / HTTP/1.1\r\nHost:", replace(LIMITS, head_s=0.1))
        assert status_of(answer) == 408

    # Guards against refusals that nobody sees.
    def test_refusals_are_counted_by_reason(self):
        async def scenario(_, connect):
            reader, writer = await connect()
            writer.write(b"nonsense\r\n\r\n")
            await reader.read()
            reader, writer = await connect()
            writer.write(b"GET /")
            await reader.read()

        assert run(scenario, replace(LIMITS, head_s=0.1)) == [Refusal.REQUEST, Refusal.LATE]

    # Guards against a connection that stray bytes keep open.
    def test_empty_lines_do_not_extend_the_idle_time(self):
        async def scenario(_, connect):
            reader, writer = await connect()
            reading = asyncio.ensure_future(reader.read())
            while not reading.done():
                writer.write(b"\r\n")
                await asyncio.sleep(0.05)
            assert reading.result() == b""

        run(scenario, replace(LIMITS, idle_s=0.5, blank_bytes=1 << 20))


class TestBody:
    # Guards against an answer in place of one that its handler gives, or that promises something.
    def test_that_does_not_arrive_in_time_ends_the_connection(self):
        request_bytes = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab"
        assert exchange(request_bytes, replace(LIMITS, body_s=0.1)) == b""

    # Guards against bodies that take up the memory together, each within the limit of a request.
    def test_one_of_two_large_ones_is_refused(self):
        async def scenario(_, connect):
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
            clients = [await connect() for _ in range(2)]
            for _, writer in clients:
                writer.write(head + b"a" * 90_000)
            answers = [asyncio.ensure_future(reader.read(64)) for reader, _ in clients]
            done, waiting = await asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED)
            # The application of this test leaves the answer to the server.
            assert [status_of(each.result()) for each in done] == [500]
            assert len(waiting) == 1
            waiting.pop().cancel()

        assert run(scenario, replace(LIMITS, body_bytes=100_000)) == [Refusal.BODY]

    # Guards against large bodies that crowd out small ones.
    def test_small_ones_are_served_beside_large_ones(self):
        async def scenario(_, connect):
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            _, large = await connect()
            large.write(head % 300_000 + b"a" * 200_000)
            await large.drain()
            reader, small = await connect()
            small.write(head % 5 + b"abcde")
            assert (await reader.readuntil(b"abcde")).startswith(b"HTTP/1.1 200 ")

        run(scenario, replace(LIMITS, body_bytes=100_000))


class TestRequestsAhead:
    # Guards against requests that are lost, or answered in another order, by holding them back.
    def test_are_all_served_in_their_order(self):
        async def scenario(application, connect):
            reader, writer = await connect()
            count = 3000
            writer.write(b"".join(GET % number for number in range(count)))
            writer.write(b"GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answers = await reader.read()
            assert answers.count(b"HTTP/1.1 200 ") == count + 1
            assert application.paths.pop() == "/last"
            assert application.paths == [f"/{number}" for number in range(count)]

        run(scenario)

    # Guards against a row of requests that grows while the first is handled.
    def test_only_the_first_is_handled_until_it_is_answered(self):
        async def scenario(application, connect):
            application.may_answer.clear()
            reader, writer = await connect()
            writer.write(GET % 0 + GET % 1)
            await application.until_arrived(1)
            writer.write(GET % 2)
            _, other = await connect()
            other.write(GET % 3)
            await application.until_arrived(2)
            assert application.paths == ["/0", "/3"]
            application.may_answer.set()
            await reader.readuntil(b"/2 ")
            assert application.paths == ["/0", "/3", "/1", "/2"]

        run(scenario)

    # Guards against a client that leaves and is not noticed, as nothing is read any more.
    def test_a_client_that_leaves_within_its_request_is_noticed(self):
        async def scenario(application, connect):
            application.may_answer.clear()
            _, writer = await connect()
            writer.write(GET % 0)
            await application.until_arrived(1)
            writer.close()
            await writer.wait_closed()
            application.may_answer.set()
            reader, writer = await connect()
            writer.write(GET % 1)
            await reader.readuntil(b"/1 ")

        run(scenario)


class TestUnreadAnswers:
    def test_end_the_connection_after_a_time(self):
        async def scenario(_, connect):
            _, writer = await connect()
            body = b"b" * 65536
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
            with pytest.raises(ConnectionError):
                await send_without_end(writer, head + body)

        assert Refusal.UNREAD in run(scenario, replace(LIMITS, unread_answer_s=0.2))

    # Guards against a slow client whose answer is cut off although it goes on taking it.
    def test_that_are_taken_slowly_are_sent_whole(self):
        async def scenario(_, connect):
            reader, writer = await connect()
            body = b"b" * SLOW_ANSWER_BYTES
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n" % len(body))
            writer.write(b"Connection: close\r\n\r\n" + body)
            taken = 0
            while part := await reader.read(SLOW_ANSWER_BYTES // 64):
                taken += len(part)
                await asyncio.sleep(0.005)
            assert taken > SLOW_ANSWER_BYTES

        limits = replace(LIMITS, unread_answer_s=0.1, body_bytes=2 * SLOW_ANSWER_BYTES)
        assert run(scenario, limits) == []


class TestConnections:
    def test_the_one_that_is_idle_for_longest_gives_way(self):
        async def scenario(_, connect):
            first, _ = await connect()
            second, writer = await connect()
            writer.write(GET % 0)
            await second.readuntil(b"/0 ")
            third, writer = await connect()
            assert await is_ended(first)
            writer.write(GET % 1)
            await third.readuntil(b"/1 ")
            assert not second.at_eof()

        assert run(scenario, replace(LIMITS, connections=2)) == [Refusal.IDLE]

    def test_those_with_a_request_stay(self):
        async def scenario(application, connect):
            application.may_answer.clear()
            reader, writer = await connect()
            writer.write(GET % 0)
            await application.until_arrived(1)
            refused, _ = await connect()
            assert await is_ended(refused)
            application.may_answer.set()
            await reader.readuntil(b"/0 ")

        assert run(scenario, replace(LIMITS, connections=1)) == [Refusal.PLACE]

    # Guards against many connections that each keep within their own limits.
    def test_the_one_with_most_unprocessed_input_gives_way(self):
        async def scenario(_, connect):
            part = b"GET / HTTP/1.1\r\nHost: x\r\na: "
            large_reader, large = await connect()
            large.write(part + b"b" * 900)
            _, small = await connect()
            small.write(part + b"b" * 200)
            _, other = await connect()
            other.write(part + b"b" * 200)
            assert await is_ended(large_reader)
            reader, writer = await connect()
            writer.write(GET % 0)
            await reader.readuntil(b"/0 ")

        assert run(scenario, replace(LIMITS, buffered_bytes=1200)) == [Refusal.INPUT]


class TestMakeLimits:
    def test_follow_the_machine(self):
        small, large = make_limits(128, 256), make_limits(1024, 8192)
        assert small.connections == 128 < large.connections == 4096
        assert small.body_bytes == 8 << 20 < large.body_bytes == 64 << 20

    # Guards against defaults for another machine than the one that the pages name.
    def test_the_defaults_are_those_of_the_smallest_machine(self):
        assert make_limits(300, 4100) == DEFAULT_LIMITS
