"""Which route of a service a path belongs to."""

from urllib.parse import unquote

PREFIX = "/services/"


class ServiceTarget:
    """A service call's route.

    Parameters
    ----------
    service : str
    path : str
        Encoded path as the service gets it.
    route : Route
    """

    __slots__ = ("service", "path", "route")

    def __init__(self, service, path, route):
        self.service = service
        self.path = path
        self.route = route


def split_path(raw_path):
    """Return service name and remaining path of ``/services/<service>/<path>``.

    Parameters
    ----------
    raw_path : str
        Encoded path.

    Returns
    -------
    tuple of (str, str) or None
        None if the path is unsafe: a service may resolve dot segments, repeated or
        escaped slashes differently, and so serve another route than the one whose
        rights were checked.
    """
    service, slash, rest = raw_path[len(PREFIX) :].partition("/")
    path = "/" + rest
    decoded = unquote(path)
    segments = decoded.split("/")
    if (
        not service
        or not slash
        or "%" in service
        or "\\" in decoded
        or "//" in decoded
        or "%2f" in path.lower()
        or "%25" in path
        or any(segment in (".", "..") for segment in segments)
        or any(segment.startswith((".;", "..;")) for segment in segments)
        or any(ord(character) < 32 for character in decoded)
    ):
        return None
    return service, path


def find_route(service, path):
    """Return the route with the longest path that is a prefix of `path`, or None.

    A route covers its own path and everything below it.
    """
    decoded = unquote(path)
    best = None
    for route in service.routes:
        base = route.path.rstrip("/")
        if decoded == route.path or decoded == base or decoded.startswith(base + "/"):
            if best is None or len(route.path) > len(best.path):
                best = route
    return best
