"""The operator's configuration that is in force at a node; a lower version never replaces it."""

from collections.abc import Callable
from dataclasses import replace

from redwingplank.batch.model import CellConfig
from redwingplank.cell.context import NodeContext
from redwingplank.core import UndecodableError
from redwingplank.platform.site.config import CONFIG_KEY, ConfigRejectedError, decode_config
from redwingplank.platform.site.store import Item

__all__ = ["ActiveConfig"]


class ActiveConfig:
    """Keeps the newest valid configuration and notifies listeners of each change.

    Parameters
    ----------
    context : NodeContext
        Log and metrics of this node.

    Attributes
    ----------
    current : CellConfig or None
        Configuration in force.
    revision : int
        Newest revision of the store's key that `current` stands for.
    newest_revision : int
        Newest revision that this node has seen; higher than `revision` while the newest
        configuration is rejected.
    proven_s : float
        Latest time, on the clock of `now_s`, at which nothing newer than `current` is known to
        have been in the store.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.current: CellConfig | None = None
        self.revision = 0
        self.newest_revision = 0
        self.proven_s = float("-inf")
        self._heard_s = float("-inf")
        self.listeners: list[Callable[[CellConfig], None]] = []

    def record_proof(self, revision: int, sent_s: float) -> None:
        """Record that `revision` was the newest one when a call sent at `sent_s` was carried out.

        Answers may arrive in another order than their calls were sent; the call sent last counts.
        While a newer revision is rejected, a proof of that revision is ignored.
        """
        if self.revision >= revision:
            self.proven_s = max(self.proven_s, sent_s)

    def record_answer(self, answered_s: float) -> None:
        """Record that a watch was answered with all changes that it knew of at `answered_s`.

        That is no proof, because a watch may leave out a change, but shows that the store answers.
        """
        self._heard_s = max(self._heard_s, answered_s)

    def is_outdated(self, now_s: float, limit_s: float) -> bool:
        """Return whether neither a proof nor an answer has come for longer than `limit_s`."""
        return now_s - max(self._heard_s, self.proven_s) > limit_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the configuration was last proven to be the newest one."""
        return now_s - self.proven_s

    def apply_newest(self, items: tuple[Item, ...]) -> None:
        """Put the newest valid configuration among `items` into force.

        Older ones are not even decoded: none of them may come into force after it.
        """
        for item in sorted(items, key=lambda item: item.revision, reverse=True):
            is_config = item.key == CONFIG_KEY and item.value is not None
            if is_config and self._apply(item):
                return

    def _apply(self, item: Item) -> bool:
        """Apply one configuration and return whether it is valid.

        A newer revision without a higher version only withdraws keys, see `_keep_current`.
        """
        assert item.value is not None
        revision = item.revision
        if revision == self.newest_revision:
            return self.revision == revision
        is_newest = revision > self.newest_revision
        self.newest_revision = max(self.newest_revision, revision)
        try:
            config = decode_config(item.value)
        except UndecodableError as error:
            self._log_rejection("config_unreadable", revision, error)
            return False
        except ConfigRejectedError as error:
            self._log_rejection("config_rejected", revision, error)
            return False
        if self.current is None or config.version > self.current.version:
            self._put_into_force(config, revision)
        elif is_newest:
            self._keep_current(config, revision)
        return True

    def _put_into_force(self, config: CellConfig, revision: int) -> None:
        was = self.current.version if self.current else 0
        self.current = config
        self.revision = revision
        self._update_gauge()
        self._context.log(
            "config_in_force",
            version=config.version,
            revision=revision,
            was=was,
            queues=len(config.queues_by_name),
            organisations=len(config.organisations_by_name),
        )
        for listener in self.listeners:
            listener(config)

    def _keep_current(self, stored: CellConfig, revision: int) -> None:
        """Keep the current configuration, without keys that a newer revision no longer gives.

        The newer revision has no higher version, so it does not come into force.
        """
        assert self.current is not None
        self.revision = revision
        self._update_gauge()
        if self.current.requires_keys and stored.requires_keys:
            given = stored.organisation_by_key
            kept = {
                key: name
                for key, name in self.current.organisation_by_key.items()
                if given.get(key) == name
            }
            self.current = replace(self.current, organisation_by_key=kept)

    def _log_rejection(self, event: str, revision: int, error: Exception) -> None:
        self._update_gauge()
        self._context.log(event, revision=revision, error=error)

    def _update_gauge(self) -> None:
        is_behind = self.revision < self.newest_revision
        self._context.metrics.is_config_rejected.set(is_behind)
