"""Simulated fabric: packets sent to balancers and answers sent to callers."""

import asyncio
import socket

import dpkt
import pytest

from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.fabric import Fabric
from lentilfork.bench.fabric import FabricConfig
from lentilfork.bench.fabric import wrap_payload
from lentilfork.settings import split_address

WAIT_S = 5.0


def open_socket(address: str) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind(split_address(address))
    return opened


async def receive(source: socket.socket) -> tuple[bytes, tuple[str, int]]:
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recvfrom(source, 65535), WAIT_S)


@pytest.mark.parametrize("payload", [b"", b"odd", b"even", b"\xff" * 1200])
def test_packet_contains_payload_and_valid_checksums(payload: bytes) -> None:
    packet = wrap_payload(payload, ("127.9.8.7", 40001), ("127.1.2.3", 5683))
    header, datagram = packet[:20], packet[20:]
    pseudo = packet[12:20] + b"\x00\x11" + len(datagram).to_bytes(2, "big")
    assert dpkt.in_cksum(header) == 0
    assert dpkt.in_cksum(pseudo + datagram) == 0
    assert int.from_bytes(packet[2:4], "big") == len(packet)
    assert int.from_bytes(datagram[4:6], "big") == len(datagram)
    assert datagram[8:] == payload


async def test_request_and_answer_are_forwarded_between_caller_and_balancer() -> None:
    addresses = AddressBlock()
    service, caller = (
        addresses.allocate_address(5683),
        addresses.allocate_address(40001),
    )
    balancer = addresses.allocate_address(6081)
    config = FabricConfig(
        services=(service,),
        return_address=addresses.allocate_address(6081),
        balancers=(balancer,),
    )
    fabric = Fabric(config)
    fabric.start()
    loop = asyncio.get_running_loop()
    with open_socket(caller) as caller_socket, open_socket(balancer) as balancer_socket:
        await loop.sock_sendto(caller_socket, b"ask", split_address(service))
        packet, _ = await receive(balancer_socket)
        expected = wrap_payload(b"ask", split_address(caller), split_address(service))
        assert packet == expected
        answer = wrap_payload(b"tell", split_address(service), split_address(caller))
        await loop.sock_sendto(
            balancer_socket, answer, split_address(config.return_address)
        )
        assert await receive(caller_socket) == (b"tell", split_address(service))
    fabric.close()


async def test_answer_of_an_unknown_service_is_dropped() -> None:
    addresses = AddressBlock()
    service, caller = (
        addresses.allocate_address(5683),
        addresses.allocate_address(40001),
    )
    config = FabricConfig(
        services=(service,),
        return_address=addresses.allocate_address(6081),
        balancers=(),
    )
    fabric = Fabric(config)
    fabric.start()
    for packet in (
        wrap_payload(b"x", ("127.0.0.1", 5683), split_address(caller)),
        b"\x45\x00",
    ):
        fabric.forward_answer(packet)
    fabric.close()
    assert fabric.counters.dump() == {
        "answers_dropped.malformed": 1,
        "answers_dropped.unknown_service": 1,
    }
