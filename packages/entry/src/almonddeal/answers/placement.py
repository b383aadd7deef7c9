"""Choice of the instances that hold an answer."""

import hashlib


def rank(request_key, names):
    """Return the names by descending rendezvous hash with a request.

    References
    ----------
    D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998.
    """

    def weight(name):
        return hashlib.blake2b(f"{request_key}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)


def spread_domains(ranked, domain_by_name):
    """Return ranked names reordered to alternate between failure domains.

    Each domain appears once before any appears again; the rank decides within a domain.
    """
    n_seen_by_domain = {}
    positions = []
    for position, name in enumerate(ranked):
        domain = domain_by_name[name]
        n_seen = n_seen_by_domain.get(domain, 0)
        n_seen_by_domain[domain] = n_seen + 1
        positions.append((n_seen, position, name))
    return [name for _, _, name in sorted(positions)]


def choose_holders(request_key, min_replicas, entries, agents, domain_by_name):
    """Choose the holders of an answer.

    Parameters
    ----------
    request_key : str
        Key of the request.
    min_replicas : int
        Replicas that must exist before a token is delivered; the answer survives the
        loss of any ``min_replicas - 1`` holders.
    entries : iterable of str
        Names of the reachable entry instances.
    agents : iterable of str
        Names of the reachable agents, used where there are too few entry instances.
    domain_by_name : dict of str to str
        Failure domain of each instance.

    Returns
    -------
    holders : list of str
        At most ``2 * min_replicas - 1`` instances, an odd number.
    """
    n_holders = 2 * min_replicas - 1
    ordered = spread_domains(rank(request_key, entries), domain_by_name)[:n_holders]
    n_missing = n_holders - len(ordered)
    if n_missing > 0:
        fillers = spread_domains(rank(request_key, agents), domain_by_name)
        used = {domain_by_name[name] for name in ordered}
        fillers.sort(key=lambda name: domain_by_name[name] in used)
        ordered += fillers[:n_missing]
    if len(ordered) % 2 == 0:
        ordered = ordered[:-1]
    return ordered
