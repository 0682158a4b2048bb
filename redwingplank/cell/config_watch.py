"""Watches the configuration, so that a change is in force soon after it was stored."""

from redwingplank.cell.clocks import now_s
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.config_reader import ConfigReader
from redwingplank.cell.context import NodeContext
from redwingplank.cell.follower import Follower
from redwingplank.platform.site.config import CONFIG_KEY
from redwingplank.platform.site.store import WatchPage

__all__ = ["ConfigWatch"]

WATCH_WAIT_S = 1.2
WATCH_SLACK_S = 0.8
"""With the wait, the longest time for which a connection that stopped answering is trusted: a
change has to be in force 3 s after the store can be reached again."""
LONGEST_RETRY_S = 0.5
LONG_TRANSFER_S = 0.2
"""While changes take this long to arrive, the operator may have stored the next ones."""


class ConfigWatch(Follower):
    """Watches the configuration; catches up by reading the newest one.

    A watch returns every version since its position, which on a slow link may take longer than it
    takes the operator to write the next ones. Therefore a long transfer, and each failure, is
    followed by a read, which returns one version.

    Nor does an empty answer prove that nothing has changed, so the position only moves on when the
    configuration has been proven since then.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    config : ActiveConfig
        Takes the changes, and tells when it was last proven.
    reader : ConfigReader
        Reads the newest configuration.
    """

    def __init__(self, context: NodeContext, config: ActiveConfig, reader: ConfigReader) -> None:
        super().__init__(context, CONFIG_KEY, LONGEST_RETRY_S)
        self._config = config
        self._reader = reader
        self._must_read = True
        self._begun_s: float | None = None
        self._unproven = WatchPage((), 0)
        self._unproven_since_s = 0.0

    @property
    def is_receiving(self) -> bool:
        """Whether an answer to a watch is being transferred."""
        return self._begun_s is not None

    async def catch_up(self) -> None:
        """Read the newest configuration at first, and after a long transfer, a failure or a gap."""
        if not self._must_read:
            return
        self.revision = await self._reader.read()
        self._must_read = False

    async def watch(self) -> WatchPage:
        """Watch once."""
        try:
            page = await self._context.store.watch(
                CONFIG_KEY, self.revision, WATCH_WAIT_S, WATCH_SLACK_S, self._handle_begun
            )
            answered_s = now_s() if self._begun_s is None else self._begun_s
            self._must_read = now_s() - answered_s >= LONG_TRANSFER_S
            self._config.record_answer(answered_s)
            return page
        finally:
            self._begun_s = None

    def _handle_begun(self) -> None:
        self._begun_s = now_s()

    def handle_page(self, page: WatchPage) -> None:
        """Put the newest of the changes into force."""
        if page.events:
            self._config.apply_newest(page.events)
            self.revision = max(event.revision for event in page.events)
        else:
            self._advance(page)

    def _advance(self, page: WatchPage) -> None:
        """Move to the position of an earlier empty answer if the configuration is proven since."""
        if self._config.proven_s >= self._unproven_since_s:
            self.revision = max(self.revision, self._unproven.revision)
        self._unproven = page
        self._unproven_since_s = now_s()

    def handle_gap(self) -> None:
        """Read next."""
        self._must_read = True

    def handle_failure(self) -> bool:
        """Read next: a further watch might return many versions."""
        self._must_read = True
        return True
