"""Which instances hold an answer."""

import hashlib


def rank(request, names):
    """Return the names in the order of their rendezvous hash with a request.

    References
    ----------
    D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998.
    """

    def weight(name):
        return hashlib.blake2b(f"{request}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)


def spread_domains(ranked, domain_by_name):
    """Reorder names so that each failure domain comes once before any comes again."""
    n_seen_by_domain = {}
    order = []
    for position, name in enumerate(ranked):
        domain = domain_by_name[name]
        n_seen = n_seen_by_domain.get(domain, 0)
        n_seen_by_domain[domain] = n_seen + 1
        order.append((n_seen, position, name))
    return [name for _, _, name in sorted(order)]


def choose_holders(request, n_copies, entries, agents, domain_by_name):
    """Choose the holders of an answer.

    Parameters
    ----------
    request : str
    n_copies : int
        Copies that must exist before a token is delivered; the answer survives the
        loss of any ``n_copies - 1`` holders.
    entries : iterable of str
        Entry instances that can be reached.
    agents : iterable of str
        Agents that can be reached; they fill up what entry instances cannot.
    domain_by_name : dict of str to str

    Returns
    -------
    holders : list of str
        At most ``2 * n_copies - 1`` instances, an odd number.
    """
    n_holders = 2 * n_copies - 1
    ordered = spread_domains(rank(request, entries), domain_by_name)[:n_holders]
    n_missing = n_holders - len(ordered)
    if n_missing > 0:
        fillers = spread_domains(rank(request, agents), domain_by_name)
        used = {domain_by_name[name] for name in ordered}
        fillers.sort(key=lambda name: domain_by_name[name] in used)
        ordered += fillers[:n_missing]
    if len(ordered) % 2 == 0:
        ordered = ordered[:-1]
    return ordered
