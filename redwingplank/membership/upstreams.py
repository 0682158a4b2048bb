"""Upstreams of a failure domain: the platform's list, overruled by stronger signals."""

from collections.abc import Iterable

from redwingplank.membership.messages import VmWord, VmWordKind
from redwingplank.platform import ListedVm, VmRole, VmState

__all__ = ["VmTable"]

FORGET_AFTER_S = 600.0
REPEAT_WORD_S = 10.0


class VmTable:
    """The listed VMs of one failure domain and what is known of them beyond the list.

    Notes
    -----
    A word is final: the name of a VM is never used again, so that a list that still shows the VM
    as live is late. A word is forgotten once the list has not shown the VM for
    `FORGET_AFTER_S` seconds.
    """

    def __init__(self) -> None:
        self._vms_by_name: dict[str, ListedVm] = {}
        self._words_by_name: dict[str, VmWord] = {}
        self._told_at_s_by_name: dict[str, float] = {}
        self._listed_at_s_by_name: dict[str, float] = {}

    def take_list(self, now_s: float, vms: Iterable[ListedVm]) -> None:
        """Replace the listed VMs."""
        self._vms_by_name = {vm.name: vm for vm in vms}
        self._listed_at_s_by_name.update(dict.fromkeys(self._vms_by_name, now_s))
        for name in list(self._words_by_name):
            if now_s - self._last_heard_s(name) > FORGET_AFTER_S:
                del self._words_by_name[name]
                del self._told_at_s_by_name[name]
        self._listed_at_s_by_name = {
            name: listed_at_s
            for name, listed_at_s in self._listed_at_s_by_name.items()
            if name in self._words_by_name or name in self._vms_by_name
        }

    def take_word(self, now_s: float, word: VmWord) -> bool:
        """Take a stronger signal; return whether it is new. Dead overrules leaving."""
        known = self._words_by_name.get(word.vm)
        if known == word or (known is not None and known.kind is VmWordKind.DEAD):
            return False
        self._words_by_name[word.vm] = word
        self._told_at_s_by_name[word.vm] = now_s
        return True

    def recent_words(self, now_s: float) -> tuple[VmWord, ...]:
        """Return the words of the last `REPEAT_WORD_S` seconds, to be told to others."""
        return tuple(
            self._words_by_name[name]
            for name, told_at_s in self._told_at_s_by_name.items()
            if now_s - told_at_s <= REPEAT_WORD_S
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
        """The number of VMs on the list."""
        return len(self._vms_by_name)

    def has_word(self, name: str) -> bool:
        """Return whether a stronger signal says that a VM leaves or is dead."""
        return name in self._words_by_name

    def _last_heard_s(self, name: str) -> float:
        told_at_s = self._told_at_s_by_name[name]
        return max(told_at_s, self._listed_at_s_by_name.get(name, told_at_s))
