"""Who can be reached now: entry instances by their links, agents by announcements."""

from almonddeal_common.codes import NOT_REACHED, AlmonddealError


class FleetView:
    """The instances that may hold answers, and the links to them.

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
        """Return the number of an entry instance, the same on every instance."""
        return self._number_by_name[name]

    def all_entries(self):
        """Return the names of all entry instances."""
        return list(self._settings.entry_by_name)

    def live_entries(self):
        """Return the names of the reachable entry instances, this one included."""
        live = [name for name, peer in self._peer_by_name.items() if peer.is_up]
        return [self._settings.instance, *live]

    def live_agents(self):
        """Return the names of the agents that were heard of lately."""
        return [t.state.instance for t in self._directory.candidates()]

    def domain_by_name(self):
        """Return the failure domain of every known instance, by name."""
        entries = self._settings.entry_by_name.items()
        domains = {name: entry.failure_domain for name, entry in entries}
        for target in self._directory.target_by_name.values():
            domains[target.state.instance] = target.state.failure_domain
        return domains

    def _agent_state(self, name):
        for target in self._directory.target_by_name.values():
            if target.state.instance == name:
                return target.state
        raise AlmonddealError(NOT_REACHED, f"agent {name} is not known")

    def link_to(self, name):
        """Return the open link to an instance, or raise `NOT_REACHED`."""
        if name in self._peer_by_name:
            return self._peer_by_name[name].current()
        link = self._agent_links.find(self._agent_state(name))
        if link is None:
            raise AlmonddealError(NOT_REACHED, f"no link to agent {name}")
        return link

    async def open_link(self, name):
        """Return a link to an instance, opening one to an agent if needed."""
        if name in self._peer_by_name:
            return self._peer_by_name[name].current()
        return await self._agent_links.open(self._agent_state(name))
