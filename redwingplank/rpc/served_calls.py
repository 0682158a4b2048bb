"""Keeps handlers apart from the memory of the calls that they answer."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

__all__ = ["ServedCalls"]


class ServedCalls:
    """The handlers that are under way on behalf of other processes.

    Notes
    -----
    The parameters and results of a call live as long as its connection, and pycapnp tells their end
    by a cancellation only. A handler that takes the cancellation for something else, such as the
    time-out of a call that it makes, would go on in memory that is freed. So it runs in a task of
    its own, on a copy of the parameters, and what it returns after the end is dropped.
    """

    def __init__(self) -> None:
        self._handlers: set[asyncio.Task] = set()

    def wrap(self, service: Any) -> Any:
        """Return a server of the same interface whose calls are handled by `service`.

        Parameters
        ----------
        service : capnp server
            Its handlers get None as `_context`. A capability among their results isn't wrapped.

        Returns
        -------
        capnp server
        """
        handle = self._handle
        interface: Any = _interface_of(service)
        methods = frozenset(service.schema.method_names_inherited)

        class Forwarder(interface):
            def __getattr__(self, name: str) -> Any:
                if name not in methods:
                    raise AttributeError(name)
                return partial(handle, getattr(service, name))

        return Forwarder()

    async def end(self, timeout_s: float) -> None:
        """Cancel the handlers, and wait until they have ended, `timeout_s` seconds at most."""
        handlers = self._handlers - {asyncio.current_task()}
        for handler in handlers:
            handler.cancel()
        if handlers:
            await asyncio.wait(handlers, timeout=timeout_s)

    async def _handle(
        self, method: Callable[..., Awaitable[Any]], /, _context: Any, **_: Any
    ) -> Any:
        handler = asyncio.ensure_future(method(_context=None, **_copy_parameters(_context)))
        self._handlers.add(handler)
        handler.add_done_callback(self._handlers.discard)
        try:
            await asyncio.wait((handler,))
        except asyncio.CancelledError:
            handler.cancel()
            handler.add_done_callback(_report_failure)
            raise
        return handler.result()


def _interface_of(service: Any) -> Any:
    """Return the base class of a service that stands for its interface."""
    return next(base for base in type(service).__mro__ if "schema" in vars(base))


def _copy_parameters(context: Any) -> dict[str, Any]:
    parameters = context.params.as_builder().as_reader()
    return {name: getattr(parameters, name) for name in parameters.schema.fieldnames}


def _report_failure(handler: asyncio.Task) -> None:
    """Report the failure of a handler that nobody waits for."""
    if handler.cancelled() or handler.exception() is None:
        return
    handler.get_loop().call_exception_handler(
        {
            "message": "the handler of a dropped call failed",
            "exception": handler.exception(),
            "task": handler,
        }
    )
