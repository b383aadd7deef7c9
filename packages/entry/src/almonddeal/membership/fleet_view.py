"""Reachability of entry instances, by links, and of agents, by announcements."""

from almonddeal.targets.directory import LIVENESS_TIMEOUT_MS
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import NOT_REACHED, AlmonddealError

UNREACHABLE_AFTER_MS = 500


class FleetView:
    """Membership and reachability of the instances that may hold answers.

    Parameters
    ----------
    settings : EntrySettings
    peer_by_name : dict of str to Peer
        The other entry instances.
    directory : TargetDirectory
    agent_links : AgentLinks
    """

    def __init__(self, settings, peer_by_name, directory, agent_links):
        self._settings = settings
        self._peer_by_name = peer_by_name
        self._directory = directory
        self._agent_links = agent_links
        names = sorted(settings.entry_by_name)
        self._number_by_name = {name: n + 1 for n, name in enumerate(names)}

    def number_of(self, name):
        """Return the number of an entry instance, which is the same on all of them."""
        return self._number_by_name[name]

    def all_entries(self):
        """Return the names of all entry instances."""
        return list(self._settings.entry_by_name)

    def live_entries(self):
        """Return the names of the reachable entry instances, this one included."""
        live = [name for name, peer in self._peer_by_name.items() if peer.is_up]
        return [self._settings.instance, *live]

    def candidate_agents(self):
        """Return the names of the agents whose targets are candidates for new work."""
        return [t.state.instance for t in self._directory.candidates()]

    def domain_by_name(self):
        """Return the failure domain of every known instance, by name."""
        entries = self._settings.entry_by_name.items()
        domains = {name: entry.failure_domain for name, entry in entries}
        for target in self._directory.target_by_name.values():
            domains[target.state.instance] = target.state.failure_domain
        return domains

    def entry_with_number(self, number):
        """Return the name of the entry instance with a number, or None."""
        for name, known in self._number_by_name.items():
            if known == number:
                return name
        return None

    def has_restarted_since(self, name, since_ms):
        """Return whether a new incarnation of an instance was first seen after a time.

        Parameters
        ----------
        name : str
        since_ms : float
            On the monotonic clock.
        """
        peer = self._peer_by_name.get(name)
        if peer is not None:
            return peer.is_up and peer.incarnation_since_ms > since_ms
        target = self._agent_target(name)
        return target is not None and target.incarnation_since_ms > since_ms

    def is_unreachable(self, name):
        """Return whether an instance has been unreachable for `UNREACHABLE_AFTER_MS`.

        For an agent, that time counts from the end of its liveness timeout.
        """
        if name == self._settings.instance:
            return False
        now_ms = monotonic_ms()
        peer = self._peer_by_name.get(name)
        if peer is not None:
            return not peer.is_up and now_ms - peer.down_since_ms > UNREACHABLE_AFTER_MS
        target = self._agent_target(name)
        return (
            target is None
            or now_ms - target.received_ms > UNREACHABLE_AFTER_MS + LIVENESS_TIMEOUT_MS
        )

    def _agent_target(self, name):
        for target in self._directory.target_by_name.values():
            if target.state.instance == name:
                return target
        return None

    def _agent_state(self, name):
        target = self._agent_target(name)
        if target is None:
            raise AlmonddealError(NOT_REACHED, f"agent {name} is not known")
        return target.state

    def link_to(self, name):
        """Return the open link to an instance.

        Raises
        ------
        AlmonddealError
            `NOT_REACHED` if none is open.
        """
        if name in self._peer_by_name:
            return self._peer_by_name[name].require_link()
        link = self._agent_links.find(self._agent_state(name))
        if link is None:
            raise AlmonddealError(NOT_REACHED, f"no link to agent {name}")
        return link

    async def open_link(self, name):
        """Return the link to an instance; connects to an agent if needed.

        Raises
        ------
        AlmonddealError
            `NOT_REACHED`.
        """
        if name in self._peer_by_name:
            return self._peer_by_name[name].require_link()
        return await self._agent_links.open(self._agent_state(name))
