"""`radishmount-ask` against fake instances, and against a whole one."""

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
def running(service: FakeService, make_app: AppFactory = make_caller_app) -> Iterator[str]:
    """Serve `service` on a thread of its own, for a program that has a loop of its own."""
    started = threading.Event()
    told: list[str] = []
    loop = asyncio.new_event_loop()
    stop = asyncio.Event()

    async def serve_until_stopped() -> None:
        async with serve_fake(service, make_app) as address:
            told.append(address)
            started.set()
            await stop.wait()

    thread = threading.Thread(target=lambda: loop.run_until_complete(serve_until_stopped()))
    thread.start()
    started.wait()
    try:
        yield told[0]
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join()
        loop.close()


class Follower(FakeService):
    """Names its own address to callers, as a single instance does."""

    def __init__(self, **fields: object) -> None:
        super().__init__(**fields)  # type: ignore[arg-type]
        self.named: list[str] = []

    def addresses(self, caller: str, data_centre: str):  # type: ignore[no-untyped-def]
        answer = super().addresses(caller, data_centre)
        if answer.is_err():
            return answer
        instances = [Instance(f"entry-{a}", "milano", a, "") for a in self.named]
        return type(answer)(AddressAnswer(tuple(instances)))


def free_address() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


class TestQuery:
    """Searches follow address answers, and tell what they cover."""

    def test_goes_on_to_an_address_that_answers(self, capsys: pytest.CaptureFixture[str]) -> None:
        service = Follower()
        with running(service) as address:
            service.named = [free_address(), address]
            code = run("query", "-e", address, "-c", "workshop", "catalogue", "washi")

        told = capsys.readouterr()
        assert code == 0
        assert "key-0" in told.out
        assert "1 of 1 parts at index version 1" in told.out
        assert "NOT_CONNECTED" in told.err

    def test_a_partial_answer_has_an_exit_code(self, capsys: pytest.CaptureFixture[str]) -> None:
        service = Follower(missing=("high",))
        with running(service) as address:
            service.named = [address]
            code = run("query", "-e", address, "-c", "workshop", "catalogue", "washi")

        assert code == 4
        assert "PARTIAL: missing high" in capsys.readouterr().out

    def test_prints_json(self, capsys: pytest.CaptureFixture[str]) -> None:
        service = Follower()
        with running(service) as address:
            service.named = [address]
            run("query", "-e", address, "-c", "workshop", "catalogue", "washi", "--json")

        assert json.loads(capsys.readouterr().out)["complete"] is True

    def test_a_refusal_is_told_with_its_number(self, capsys: pytest.CaptureFixture[str]) -> None:
        with running(Follower()) as address:
            code = run("query", "-e", address, "-c", "nobody", "catalogue", "washi")

        assert code == 3
        assert "no such caller is published" in capsys.readouterr().err

    def test_nobody_there(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert run("query", "-e", free_address(), "-c", "workshop", "catalogue", "washi") == 3

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
    def test_wrong_usage(self, argv: tuple[str, ...]) -> None:
        assert run(*argv) == 2


class TestOperatorCommands:
    """What operators read of one instance."""

    def test_status_and_audit(self, capsys: pytest.CaptureFixture[str]) -> None:
        service = FakeService()
        service.audit.record("publication", "in force", cause="platform", version=7)
        with running(service, operator_app) as address:
            assert run("status", "--at", address) == 0
            assert run("audit", "--at", address, "--subject", "publication") == 0

        out = capsys.readouterr().out
        assert "name: fake" in out
        assert "publication: in force (version 7; platform)" in out

    def test_explain(self, capsys: pytest.CaptureFixture[str]) -> None:
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
            running(FakeService(), operator_app) as other,
            running(FakeService(record=record), operator_app) as address,
        ):
            assert run("explain", "--at", other, "--at", address, "r1") == 0

        out = capsys.readouterr().out
        assert "partial after 9.0 of 10 ms" in out
        assert "shard-1 at one-a: TIMED_OUT" in out

    def test_a_request_that_is_not_kept(self, capsys: pytest.CaptureFixture[str]) -> None:
        with running(FakeService(), operator_app) as address:
            assert run("explain", "--at", address, "r1") == 1

        assert "1014 UNKNOWN_REQUEST" in capsys.readouterr().err


class TestInstanceClient:
    """When a request may go on to another address."""

    async def test_an_order_whose_answer_is_lost_goes_nowhere_else(self) -> None:
        service = Follower()
        reached = []

        async def lose(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reached.append(await reader.read(100))
            writer.close()

        async with serve_fake(service) as address, InstanceClient([address]) as client:
            server = await asyncio.start_server(lose, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()[:2]
            service.named = [f"{host}:{port}", address]
            asked = await client.post_to_any("workshop", "/v1/search", {}, is_idempotent=False)
            server.close()

        assert len(reached) == 1
        assert asked.unwrap_err().code is Code.CONNECTION_LOST
        assert service.calls == []
