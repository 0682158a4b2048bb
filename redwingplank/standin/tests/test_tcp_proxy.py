"""The proxy passes, cuts and holds the bytes of a connection as planned."""

import asyncio

import pytest

from redwingplank.standin.tcp_proxy import ConnectionPlan, Fault, FlowPlan, TcpFaultProxy

TEXT = b"0123456789"
HOLD_S = 0.2


class Echo:
    """Answers all bytes with the same, and keeps them."""

    def __init__(self) -> None:
        self.received = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            self.received += data
            writer.write(data)
        writer.close()


async def send(plan: ConnectionPlan, waits: bool = True) -> tuple[bytes, bytes]:
    """Send a text; return what came back, and what the service had received in the end."""
    echo = Echo()
    server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    proxy = TcpFaultProxy(f"{host}:{port}", [plan])
    proxy.start()
    reader, writer = await asyncio.open_connection(*proxy.address.split(":"))
    writer.write(TEXT)
    try:
        answer = b""
        while waits and len(answer) < len(TEXT):
            data = await reader.read(100)
            if not data:
                break
            answer += data
    finally:
        writer.close()
        await proxy.settle()
        server.close()
    return answer, echo.received


class TestPlans:
    # Guards against a proxy that changes what it should pass.
    def test_without_faults_pass_all(self):
        assert asyncio.run(send(ConnectionPlan())) == (TEXT, TEXT)

    # Guards against a cut that lets further bytes pass.
    def test_of_a_close_cut_at_the_byte(self):
        assert asyncio.run(send(ConnectionPlan(up=FlowPlan(4, Fault.CLOSE))))[1] == TEXT[:4]
        assert asyncio.run(send(ConnectionPlan(down=FlowPlan(4, Fault.CLOSE)))) == (TEXT[:4], TEXT)

    # Guards against a reset that is a usual close.
    def test_of_a_reset_reach_the_caller_as_such(self):
        with pytest.raises(ConnectionResetError):
            asyncio.run(send(ConnectionPlan(up=FlowPlan(4, Fault.RESET))))

    # Guards against held bytes that are dropped when their caller closes.
    def test_of_a_hold_deliver_late_what_its_caller_sent_before_it_closed(self):
        plan = ConnectionPlan(up=FlowPlan(4, Fault.HOLD, HOLD_S))
        assert asyncio.run(send(plan, waits=False))[1] == TEXT

    # Guards against stopped bytes that are delivered.
    def test_of_a_stop_never_deliver_the_rest(self):
        plan = ConnectionPlan(up=FlowPlan(4, Fault.STOP))
        assert asyncio.run(send(plan, waits=False))[1] == TEXT[:4]
