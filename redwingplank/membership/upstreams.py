"""VMs of a failure domain: the platform's list, overruled by reports of leaving and dead VMs."""

from collections.abc import Iterable

from redwingplank.membership.messages import VmWord, VmWordKind
from redwingplank.platform import ListedVm, VmRole, VmState

__all__ = ["VmTable"]

WORD_RETENTION_S = 600.0
"""Seconds for which a word is kept after the list last showed its VM."""

WORD_REPORT_S = 10.0
"""Seconds for which a new word is repeated in heartbeats."""


class VmTable:
    """The listed VMs of one failure domain and the words that overrule the list.

    Notes
    -----
    A word (`VmWord`) says that a VM is leaving or dead. It is final: the name of a VM is never
    used again, so a list that still shows the VM as live is out of date. A word is discarded once
    the list has not shown the VM for `WORD_RETENTION_S` seconds.
    """

    def __init__(self) -> None:
        self._vms_by_name: dict[str, ListedVm] = {}
        self._words_by_name: dict[str, VmWord] = {}
        self._word_at_s_by_name: dict[str, float] = {}
        self._listed_at_s_by_name: dict[str, float] = {}

    def replace_list(self, now_s: float, vms: Iterable[ListedVm]) -> None:
        """Replace the listed VMs and discard expired words."""
        self._vms_by_name = {vm.name: vm for vm in vms}
        self._listed_at_s_by_name.update(dict.fromkeys(self._vms_by_name, now_s))
        for name in list(self._words_by_name):
            if now_s - self._last_mentioned_at_s(name) > WORD_RETENTION_S:
                del self._words_by_name[name]
                del self._word_at_s_by_name[name]
        self._listed_at_s_by_name = {
            name: listed_at_s
            for name, listed_at_s in self._listed_at_s_by_name.items()
            if name in self._words_by_name or name in self._vms_by_name
        }

    def record_word(self, now_s: float, word: VmWord) -> bool:
        """Record a word and return whether it is new; dead overrules leaving."""
        known = self._words_by_name.get(word.vm)
        if known == word or (known is not None and known.kind is VmWordKind.DEAD):
            return False
        self._words_by_name[word.vm] = word
        self._word_at_s_by_name[word.vm] = now_s
        return True

    def recent_words(self, now_s: float) -> tuple[VmWord, ...]:
        """Return the words of the last `WORD_REPORT_S` seconds, to be sent to the peers."""
        return tuple(
            self._words_by_name[name]
            for name, word_at_s in self._word_at_s_by_name.items()
            if now_s - word_at_s <= WORD_REPORT_S
        )

    def live(self, role: VmRole) -> tuple[ListedVm, ...]:
        """Return the listed VMs of a role that may be given new work."""
        return tuple(
            vm
            for vm in self._vms_by_name.values()
            if vm.role is role and vm.state is VmState.LIVE and vm.name not in self._words_by_name
        )

    def listed(self, role: VmRole) -> tuple[ListedVm, ...]:
        """Return all listed VMs of a role."""
        return tuple(vm for vm in self._vms_by_name.values() if vm.role is role)

    @property
    def listed_count(self) -> int:
        """The number of VMs in the list."""
        return len(self._vms_by_name)

    def has_word(self, name: str) -> bool:
        """Return whether a word says that a VM is leaving or dead."""
        return name in self._words_by_name

    def _last_mentioned_at_s(self, name: str) -> float:
        word_at_s = self._word_at_s_by_name[name]
        return max(word_at_s, self._listed_at_s_by_name.get(name, word_at_s))
