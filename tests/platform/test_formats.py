"""Tests of the parsers for the settings, the entries of the store, and the configuration."""

import base64
import json
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from fuzzing import FUZZ_MANY, mutated
from platform_harness import fan_out_route, make_configuration, single_route
from radishmount.border import (
    ENDPOINT_PEER_MODELS,
    pack_frame,
    register_peer_models,
    unpack_frame,
)
from radishmount.codes import Code
from radishmount.discovery import ConfigurationEntry, EndpointEntry, EndpointPage, StoreNews
from radishmount.fleet import Notice, Response
from radishmount.platform import read_configuration, read_deployment_settings, read_listed_endpoint
from radishmount.platform._store_client import ItemModel, _parse_entries
from radishmount.publication import Diagnostic


BACK_END = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldLeftMs": 0,
    "born": 1_785_000_000_000,
    "seq": 4,
}
EXTREME_VALUES = [
    ("seq", 4),
    ("zone", ""),
    ("zone", "z" * 100),
    ("zone", "z" * 101),
    ("zone", "\x00"),
    ("service", "s" * 200),
    ("service", "s" * 201),
    ("address", "255.255.255.255:65535"),
    ("address", "1.2.3.4:" + "9" * 100),
    ("slots", 1_000_000),
    ("slots", 2**63),
    ("born", 0),
    ("born", 2**63 - 1),
    ("born", 2**64 - 1),
    ("born", -(2**63)),
    ("coldLeftMs", 1e9),
    ("coldLeftMs", 1.7e308),
]
SETTINGS = """
nodeName = "front-1"
role = "entry"
zone = "z1"
region = "r1"
seeds = ["10.1.0.39:8224"]
unknown = 3
[zones]
z1 = "r1"
[listen]
front = "10.1.0.39:8226"
ready = "10.1.0.39:8227"
control = "10.1.0.39:8224"
directory = "10.1.0.39:8225"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
ttl_max_s = 5
[platform]
address = "10.200.1.7:8229"
"""


register_peer_models(*ENDPOINT_PEER_MODELS)


def encoded(value: object) -> str:
    """Return `value` as it is stored: JSON in base64."""
    return base64.b64encode(json.dumps(value).encode()).decode()


class TestListedEndpoint:
    """The entry of a back end becomes a listed endpoint, or none if it is invalid."""

    def test_each_field_is_mapped(self) -> None:
        listed = read_listed_endpoint(
            "i-1", encoded({**BACK_END, "state": "draining", "coldLeftMs": 700})
        ).unwrap()

        assert (listed.name, listed.service, listed.data_centre) == ("i-1", "s", "z1")
        assert listed.is_draining
        assert listed.cold_for_ms == 700

    @pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state", "seq"])
    def test_an_entry_with_a_missing_field_is_no_endpoint(self, name: str) -> None:
        fields = {key: value for key, value in BACK_END.items() if key != name}

        assert read_listed_endpoint("i-1", encoded(fields)).is_err()

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("slots", "2"),
            ("slots", 2.5),
            ("slots", True),
            ("service", 7),
            ("address", "nowhere"),
            ("address", 8080),
            ("state", "sleeping"),
            ("seq", "4"),
            ("coldLeftMs", "0"),
            ("coldLeftMs", None),
            ("born", 1.5),
            ("born", -1),
            ("born", 2**63),
            ("address", "127.0..1:8226"),
            ("address", "10.0.0.1:82260"),
            ("address", "10.0.0.1:0"),
            ("address", "10.0.0.256:80"),
            ("zone", ""),
            ("zone", "z" * 101),
            ("service", "s" * 201),
            ("slots", 2**63),
            ("slots", 10**30),
            ("coldLeftMs", 1e300),
        ],
    )
    def test_an_entry_with_an_invalid_field_is_no_endpoint(self, name: str, value: object) -> None:
        assert read_listed_endpoint("i-1", encoded({**BACK_END, name: value})).is_err()

    @pytest.mark.parametrize("value", ["%%%", "", encoded([1]), encoded("x"), "AAAA"])
    def test_an_entry_that_cannot_be_decoded_is_no_endpoint(self, value: str) -> None:
        assert read_listed_endpoint("i-1", value).is_err()

    @pytest.mark.parametrize("name", ["", "a b", "a\r\nX-Own: 1", "\u00e9", "a" * 201])
    def test_an_id_that_cannot_be_sent_in_a_header_names_no_endpoint(self, name: str) -> None:
        """Guards against headers of another writer's making in requests to endpoints."""
        assert read_listed_endpoint(name, encoded(BACK_END)).is_err()

    @pytest.mark.parametrize("depth", [100, 1_000, 100_000])
    def test_a_deeply_nested_entry_is_refused_or_its_unknown_field_ignored(
        self, depth: int
    ) -> None:
        nested = "[" * depth + "]" * depth
        value = orjson.dumps(BACK_END).decode().removesuffix("}") + f',"extra":{nested}}}'
        for text in (value, nested, f'{{"service":{nested}}}'):
            read = read_listed_endpoint("i-1", base64.b64encode(text.encode()).decode())

            assert read.is_err() or text is value

    @FUZZ_MANY
    @given(st.text(min_size=1, max_size=6), mutated(BACK_END), st.sampled_from(EXTREME_VALUES))
    def test_what_is_accepted_here_is_accepted_by_peers(
        self, name: str, fields: object, extreme: tuple[str, object]
    ) -> None:
        """Guards against an entry of another writer that ends the streams between instances."""
        if isinstance(fields, dict):
            fields = {**fields, extreme[0]: extreme[1]}
        read = read_listed_endpoint(name, encoded(fields))
        if read.is_err():
            return
        news = Notice(StoreNews(1, 2, (read.ok_value,), (name,), (name,)))
        page = Response(1, EndpointPage(2, (read.ok_value,), False, (name,)))

        assert unpack_frame(pack_frame(news).unwrap()) == Ok(news)
        assert unpack_frame(pack_frame(page).unwrap()) == Ok(page)


class TestStoreClient:
    """What a foreign writer puts into the store ends no read of the other entries."""

    @pytest.mark.parametrize("value", ["abc", "!", "\u00e9", "", "AAAA====AAAA"])
    def test_a_configuration_that_is_not_base64_is_reported_as_unreadable(self, value: str) -> None:
        items = [
            ItemModel(key="op/config", value=value, revision=1),
            ItemModel(key="servers/i-1", value=encoded(BACK_END), revision=2),
        ]
        configuration, endpoint = _parse_entries(items)

        assert isinstance(configuration, ConfigurationEntry)
        assert isinstance(endpoint, EndpointEntry)
        assert read_configuration(configuration.body).is_err()


class TestConfiguration:
    """The operator's configuration becomes a publication."""

    def test_routes_and_services_are_read(self) -> None:
        routes = [single_route(routeType="unsafe"), fan_out_route(["s1", "s2"])]
        publication = read_configuration(orjson.dumps(make_configuration(7, routes))).unwrap()

        single = publication.routes.find("shop.example", "/orders/1")
        gather = publication.routes.find("shop.example", "/stock/1")
        assert publication.version == 7
        assert single is not None and not single.idempotent
        assert gather is not None and gather.idempotent
        assert gather.shards == ("s1", "s2")
        assert publication.services_by_name["s1"].connections == 40

    def test_a_split_keeps_its_weights(self) -> None:
        route = single_route(split=[{"service": "a", "weight": 3}, {"service": "b", "weight": 1}])
        del route["service"]
        publication = read_configuration(orjson.dumps(make_configuration(7, [route]))).unwrap()

        found = publication.routes.find("shop.example", "/orders/1")
        assert found is not None
        assert [(part.service, part.weight) for part in found.services] == [("a", 3.0), ("b", 1.0)]

    @pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"version":"x"}', b"\xff"])
    def test_a_body_that_cannot_be_read_is_an_error(self, body: bytes) -> None:
        assert read_configuration(body).is_err()

    @pytest.mark.parametrize(
        ("changes", "code"),
        [
            ({"version": "8"}, Code.BROKEN_OBJECT),
            ({"routes": None}, Code.BROKEN_OBJECT),
            ({"services": None}, Code.BROKEN_OBJECT),
            ({"services": []}, Code.DANGLING_REFERENCE),
            (
                {"routes": [single_route(), single_route(name="r-2", host="SHOP.example")]},
                Code.DUPLICATE_OBJECT,
            ),
        ],
    )
    def test_a_configuration_that_contradicts_itself_is_refused(
        self, changes: dict[str, Any], code: Code
    ) -> None:
        """Guards against an odd write that takes all routes away, and each later version with it.

        A version that has been taken is never given up for a lower one.
        """
        fields = {**make_configuration(8, [single_route()]), **changes}
        body = orjson.dumps({key: value for key, value in fields.items() if value is not None})

        diagnostics = read_configuration(body).unwrap_err()

        assert [diagnostic.code for diagnostic in diagnostics] == [code]

    def test_each_service_of_a_split_must_be_listed(self) -> None:
        split = [{"service": "orders", "weight": 1}, {"service": "unlisted", "weight": 1}]
        fields = make_configuration(8, [single_route()])
        fields["routes"][0]["split"] = split

        diagnostics = read_configuration(orjson.dumps(fields)).unwrap_err()

        assert diagnostics == [Diagnostic(Code.DANGLING_REFERENCE, "route r-single", "unlisted")]


class TestSettings:
    """The settings file becomes the settings of an instance."""

    def test_each_field_is_mapped(self, tmp_path: Path) -> None:
        path = tmp_path / "boot.toml"
        path.write_text(SETTINGS)

        settings = read_deployment_settings(path).unwrap()

        assert (settings.name, settings.data_centre) == ("front-1", "z1")
        assert str(settings.caller_listen_address) == "10.1.0.39:8226"
        assert str(settings.peer_listen_address) == "10.1.0.39:8224"
        assert settings.stop_grace_ms == 6_000.0
        assert (settings.retry_budget_settings.ratio, settings.retry_budget_settings.slack) == (
            0.2,
            58.0,
        )

    @pytest.mark.parametrize("text", ["", "a = ", SETTINGS.replace(":8226", ":x")])
    def test_invalid_settings_are_refused_with_a_code(self, tmp_path: Path, text: str) -> None:
        path = tmp_path / "boot.toml"
        path.write_text(text)

        refusal = read_deployment_settings(path).err_value

        assert refusal.code is Code.BAD_SETTING
        assert str(path) in refusal.detail
