"""Follows the operator's configuration; a lower version never replaces a higher one."""

import asyncio
from collections.abc import Callable

import msgspec

from redwingplank.batch.model import CellConfig
from redwingplank.cell.context import NodeContext
from redwingplank.cell.follower import PrefixFollower
from redwingplank.platform.site.config import CONFIG_KEY, decode_config
from redwingplank.platform.site.store import Item

__all__ = ["ConfigFollower"]

WATCH_WAIT_S = 1.2
"""A watch can miss changes without an error, so it is repeated well within the time in which a
change has to be in force (2 s)."""


class ConfigFollower:
    """Keeps the newest readable configuration and notifies listeners of each change.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.current: CellConfig | None = None
        self.is_known = asyncio.Event()
        self.listeners: list[Callable[[CellConfig], None]] = []
        self.follower = PrefixFollower(
            context, CONFIG_KEY, WATCH_WAIT_S, self._handle_items, self._handle_items
        )

    def _handle_items(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key == CONFIG_KEY and item.value is not None:
                self._apply(item.value, item.revision)

    def _apply(self, value: bytes, revision: int) -> None:
        try:
            config = decode_config(value)
        except msgspec.MsgspecError as error:
            self._context.log("config_unreadable", revision=revision, error=error)
            return
        if self.current is not None and config.version <= self.current.version:
            return
        was = self.current.version if self.current else 0
        self.current = config
        self.is_known.set()
        self._context.log(
            "config_in_force", version=config.version, was=was, queues=len(config.queues_by_name)
        )
        for listener in self.listeners:
            listener(config)
