"""The published configuration: its objects, their validation, and the version that is active."""

from radishmount.publication._active_publication import ActivePublication, ReadBundle
from radishmount.publication._bundle_distribution import BundleDistribution, ConfigurationSource
from radishmount.publication._check import check_objects, check_publication
from radishmount.publication._diagnostic import Diagnostic, PublishedObject, subject_of
from radishmount.publication._diff import Change, ChangeKind, changes_between
from radishmount.publication._key_range import ALL_KEYS, KeyRange, covers
from radishmount.publication._objects import (
    Caller,
    Collection,
    DataCentre,
    EndpointSpec,
    Evacuation,
    Part,
    Preference,
    Rule,
    Service,
    Shard,
)
from radishmount.publication._publication import EMPTY_PUBLICATION, Publication
from radishmount.publication._replica_placement import ReplicaPlacement


__all__ = [
    "ALL_KEYS",
    "EMPTY_PUBLICATION",
    "Caller",
    "Change",
    "ChangeKind",
    "Collection",
    "ConfigurationSource",
    "DataCentre",
    "BundleDistribution",
    "EndpointSpec",
    "Evacuation",
    "Diagnostic",
    "ActivePublication",
    "KeyRange",
    "Part",
    "Preference",
    "Publication",
    "PublishedObject",
    "ReadBundle",
    "ReplicaPlacement",
    "Rule",
    "Service",
    "Shard",
    "changes_between",
    "check_objects",
    "check_publication",
    "covers",
    "subject_of",
]
