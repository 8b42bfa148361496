"""The model of the load report in every reply of an endpoint."""

from radishmount.border._models import BorderModel
from radishmount.endpoints import LoadReport


__all__ = ["LoadModel"]


class LoadModel(BorderModel):
    """An endpoint's own report of its load, and of the index versions that it holds."""

    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    draining: bool = False
    versions: list[int]

    def to_data(self) -> LoadReport:
        """Return the report as a data class."""
        return LoadReport(
            self.slots, self.in_flight, self.queued, self.draining, frozenset(self.versions)
        )
