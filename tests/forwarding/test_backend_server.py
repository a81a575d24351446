"""Announcements of a backend server: only the newest of the last incarnation counts."""

from dataclasses import replace

from lentilfork.forwarding.backend_server import BackendServer
from lentilfork.forwarding.backend_server import ServerAnnouncement
from lentilfork.forwarding.backend_server import ServerState

FIRST = ServerAnnouncement("i-1", 1000, 5, "chairs", 2, ServerState.READY, 0)


def make_server() -> BackendServer:
    server = BackendServer("chairs", 1.0)
    server.handle_announcement(FIRST, 10.0)
    return server


def test_older_announcement_is_ignored() -> None:
    server = make_server()
    server.handle_announcement(
        replace(FIRST, sequence=6, state=ServerState.DRAINING), 10.1
    )
    server.handle_announcement(FIRST, 10.2)
    assert not server.is_accepting(10.2)


def test_draining_is_final_for_an_incarnation() -> None:
    server = make_server()
    server.handle_announcement(
        replace(FIRST, sequence=6, state=ServerState.DRAINING), 10.1
    )
    server.handle_announcement(replace(FIRST, sequence=7), 10.2)
    assert not server.is_accepting(10.2)


def test_announcement_of_an_ended_incarnation_is_ignored() -> None:
    server = make_server()
    new_incarnation = replace(FIRST, born_ms=2000, sequence=1)
    assert server.handle_announcement(new_incarnation, 11.0)
    assert not server.handle_announcement(replace(FIRST, sequence=99), 11.1)
    assert server.latest == new_incarnation


def test_same_id_is_accepted_after_a_restart() -> None:
    server = make_server()
    server.handle_leave("i-1", None)
    assert not server.is_accepting(10.5)
    server.handle_announcement(replace(FIRST, born_ms=3000, sequence=1), 11.0)
    assert server.is_accepting(11.0)


def test_late_leave_of_a_previous_incarnation_is_ignored() -> None:
    server = make_server()
    server.handle_announcement(replace(FIRST, born_ms=2000, sequence=1), 11.0)
    server.handle_leave("i-1", 1000)
    assert server.is_accepting(11.0)


def test_announcement_of_another_service_is_ignored() -> None:
    server = make_server()
    server.handle_announcement(replace(FIRST, sequence=9, service="layouts"), 10.1)
    assert server.latest == FIRST


def test_server_without_announcements_gets_no_new_flows() -> None:
    server = make_server()
    assert server.is_accepting(13.0)
    assert not server.is_accepting(14.0)


def test_requests_take_longer_while_it_warms_up() -> None:
    server = make_server()
    server.handle_announcement(replace(FIRST, sequence=6, cold_left_ms=1500), 10.0)
    assert server.get_slow_percent(11.0) > 0
    assert server.get_slow_percent(12.0) == 0


def test_server_that_accepts_connections_is_ready_until_its_announcement_is_due() -> (
    None
):
    server = BackendServer("chairs", 1.0)
    assert not server.is_accepting(10.0)
    server.record_connection(10.0)
    assert server.is_accepting(11.0)
    assert not server.is_accepting(12.0)


def test_announcement_takes_precedence_over_an_accepted_connection() -> None:
    server = BackendServer("chairs", 1.0)
    server.record_connection(10.0)
    server.handle_announcement(replace(FIRST, state=ServerState.DRAINING), 10.1)
    assert not server.is_accepting(10.2)
