"""Makes the message by which a watcher passes on what it has read."""

from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._messages import StoreNews
from radishmount.discovery._position import StorePosition


__all__ = ["make_news"]


def make_news(
    endpoints: EndpointList,
    names: set[str],
    after: StorePosition,
    position: StorePosition,
    has_evacuations: bool,
) -> StoreNews:
    """Return the message about the endpoints `names` that changed, as they are listed now.

    Both positions are of the same era.
    """
    missing = names & set(endpoints.missing_until_ms_by_name)
    listed = names & set(endpoints.by_name) - missing
    evacuated = tuple(sorted(endpoints.evacuated_data_centres)) if has_evacuations else None
    return StoreNews(
        after=after.revision,
        revision=position.revision,
        endpoints=tuple(endpoints.by_name[name] for name in sorted(listed)),
        removed=tuple(sorted(names - listed - missing)),
        missing=tuple(sorted(missing)),
        evacuated=evacuated,
        era=position.era,
    )
