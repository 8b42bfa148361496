"""Tests of `radishmount-ask` and its client against fake instances."""

import asyncio
import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from fake_service import AppFactory, FakeService, operator_app, serve_fake
from radishmount.border import InstanceClient, make_caller_app
from radishmount.codes import Code
from radishmount.fleet import AddressAnswer, Instance
from radishmount.programs._application import run_program
from radishmount.programs.ask import COMMANDS
from radishmount.queries import AttemptRecord, SearchRecord, SearchVerdict


def run(*argv: str) -> int:
    return run_program("radishmount-ask", [make() for make in COMMANDS], argv)


@contextmanager
def serve_in_thread(service: FakeService, make_app: AppFactory = make_caller_app) -> Iterator[str]:
    """Serve `service` on another thread, because the program under test runs its own event loop."""
    started = threading.Event()
    addresses: list[str] = []
    loop = asyncio.new_event_loop()
    stop = asyncio.Event()

    async def serve_until_stopped() -> None:
        async with serve_fake(service, make_app) as address:
            addresses.append(address)
            started.set()
            await stop.wait()

    thread = threading.Thread(target=lambda: loop.run_until_complete(serve_until_stopped()))
    thread.start()
    started.wait()
    try:
        yield addresses[0]
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join()
        loop.close()


class SelfListingInstance(FakeService):
    """A fake instance that answers address requests with `listed_addresses`."""

    def __init__(self, **fields: object) -> None:
        super().__init__(**fields)  # type: ignore[arg-type]
        self.listed_addresses: list[str] = []

    def addresses(self, caller: str, data_centre: str):  # type: ignore[no-untyped-def]
        answer = super().addresses(caller, data_centre)
        if answer.is_err():
            return answer
        instances = [
            Instance(f"entry-{address}", "milano", address, "") for address in self.listed_addresses
        ]
        return type(answer)(AddressAnswer(tuple(instances)))


def unused_address() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


class TestQuery:
    """Searches go to the addresses that an instance lists, and print the coverage."""

    def test_tries_the_next_address_when_one_is_unreachable(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        service = SelfListingInstance()
        with serve_in_thread(service) as address:
            service.listed_addresses = [unused_address(), address]
            code = run("query", "-e", address, "-c", "workshop", "catalogue", "washi")

        output = capsys.readouterr()
        assert code == 0
        assert "key-0" in output.out
        assert "1 of 1 parts at index version 1" in output.out
        assert "NOT_CONNECTED" in output.err

    def test_a_partial_answer_has_its_own_exit_code(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        service = SelfListingInstance(missing=("high",))
        with serve_in_thread(service) as address:
            service.listed_addresses = [address]
            code = run("query", "-e", address, "-c", "workshop", "catalogue", "washi")

        assert code == 4
        assert "PARTIAL: missing high" in capsys.readouterr().out

    def test_prints_the_response_as_json_on_request(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        service = SelfListingInstance()
        with serve_in_thread(service) as address:
            service.listed_addresses = [address]
            run("query", "-e", address, "-c", "workshop", "catalogue", "washi", "--json")

        assert json.loads(capsys.readouterr().out)["complete"] is True

    def test_prints_the_text_of_a_refusal(self, capsys: pytest.CaptureFixture[str]) -> None:
        with serve_in_thread(SelfListingInstance()) as address:
            code = run("query", "-e", address, "-c", "nobody", "catalogue", "washi")

        assert code == 3
        assert "no such caller is published" in capsys.readouterr().err

    def test_reports_that_no_instance_is_reachable(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run("query", "-e", unused_address(), "-c", "workshop", "catalogue", "washi") == 3

        assert "3007 NOT_CONNECTED" in capsys.readouterr().err

    @pytest.mark.parametrize(
        "argv",
        [
            ("query", "catalogue", "washi"),
            ("query", "-e", "127.0.0.1:1", "catalogue", "washi"),
            ("query", "-e", "127.0.0.1:1", "-c", "w", "catalogue", "washi", "--limit", "x"),
            ("order", "-e", "127.0.0.1:1", "-c", "w", "booking", "{"),
            ("status",),
            ("bogus",),
        ],
    )
    def test_wrong_usage_has_its_own_exit_code(self, argv: tuple[str, ...]) -> None:
        assert run(*argv) == 2


class TestOperatorCommands:
    """Commands that read from the operators' address of an instance."""

    def test_status_and_audit_print_the_state_and_its_changes(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        service = FakeService()
        service.audit.record("publication", "in force", cause="platform", version=7)
        with serve_in_thread(service, operator_app) as address:
            assert run("status", "--at", address) == 0
            assert run("audit", "--at", address, "--subject", "publication") == 0

        out = capsys.readouterr().out
        assert "name: fake" in out
        assert "publication: in force (version 7; platform)" in out

    def test_explain_asks_each_instance_until_one_has_the_record(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        attempt = AttemptRecord(1, "first", "shard-1", "one-a", 1, 0.0, None, "TIMED_OUT")
        record = SearchRecord(
            request_id="r1",
            caller="workshop",
            target="catalogue",
            verdict=SearchVerdict.PARTIAL,
            at_ms=0.0,
            took_ms=9.0,
            deadline_ms=10.0,
            index_versions=(3,),
            missing=("high",),
            attempts=(attempt,),
            code=Code.PARTIAL,
        )
        with (
            serve_in_thread(FakeService(), operator_app) as other,
            serve_in_thread(FakeService(record=record), operator_app) as address,
        ):
            assert run("explain", "--at", other, "--at", address, "r1") == 0

        out = capsys.readouterr().out
        assert "partial after 9.0 of 10 ms" in out
        assert "shard-1 at one-a: TIMED_OUT" in out

    def test_explain_refuses_a_request_without_a_record(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with serve_in_thread(FakeService(), operator_app) as address:
            assert run("explain", "--at", address, "r1") == 1

        assert "1014 UNKNOWN_REQUEST" in capsys.readouterr().err


class TestInstanceClient:
    """When the client may send a request to another address."""

    async def test_an_order_whose_answer_is_lost_is_not_sent_to_another_address(self) -> None:
        service = SelfListingInstance()
        received = []

        async def close_unanswered(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.read(100))
            writer.close()

        async with serve_fake(service) as address, InstanceClient([address]) as client:
            server = await asyncio.start_server(close_unanswered, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()[:2]
            service.listed_addresses = [f"{host}:{port}", address]
            response = await client.post_to_any("workshop", "/v1/search", {}, is_idempotent=False)
            server.close()

        assert len(received) == 1
        assert response.unwrap_err().code is Code.CONNECTION_LOST
        assert service.calls == []
