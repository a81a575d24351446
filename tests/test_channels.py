"""TLS between processes: refused peers, key files, certificate rotation."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Iterator
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from ipaddress import IPv4Address
from pathlib import Path

import grpc
import grpc.aio
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from result import Err

from lentilfork.bench.addresses import AddressBlock
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.inspection import InspectionService
from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.settings import TlsSettings
from tests.membership.cluster import wait_for

# Longer than any test run; also covers clocks that are a little behind.
VALIDITY = timedelta(days=2)
AUTHORITY = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
HOST = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "host")])


def write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> None:
    """Write a private key that only its owner may read."""
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    path.chmod(0o600)


def make_certificate_builder(
    subject: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    """Return a builder of a certificate that the authority has yet to sign."""
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(AUTHORITY)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
    )


def make_authority(folder: Path) -> None:
    folder.mkdir(exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = (
        make_certificate_builder(AUTHORITY, key)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    write_key(folder / "ca.key", key)
    (folder / "ca.pem").write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )


def make_certificate(folder: Path, host: str) -> TlsSettings:
    """Write a new key and certificate of a host, replacing earlier ones."""
    authority = serialization.load_pem_private_key(
        (folder / "ca.key").read_bytes(), password=None
    )
    assert isinstance(authority, ec.EllipticCurvePrivateKey)
    key = ec.generate_private_key(ec.SECP256R1())
    names = x509.SubjectAlternativeName([x509.IPAddress(IPv4Address(host))])
    certificate = (
        make_certificate_builder(HOST, key)
        .add_extension(names, critical=False)
        .sign(authority, hashes.SHA256())
    )
    write_key(folder / "host.key", key)
    (folder / "host.pem").write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    return TlsSettings(
        certificate=folder / "host.pem",
        key=folder / "host.key",
        authority=folder / "ca.pem",
    )


class SlowInspection(InspectionService):
    """Responds to a dump request only after `release` is set."""

    def __init__(self) -> None:
        super().__init__(dict, Counters())
        self.requested = asyncio.Event()
        self.release = asyncio.Event()

    async def Dump(  # noqa: N802
        self, request: admin_pb2.DumpRequest, context: object
    ) -> admin_pb2.DumpReply:
        """Respond once `release` is set."""
        self.requested.set()
        await self.release.wait()
        return admin_pb2.DumpReply(json="{}")


async def call_dump(channel: grpc.aio.Channel) -> admin_pb2.DumpReply:
    stub = admin_pb2_grpc.InspectionStub(channel)
    return await stub.Dump(admin_pb2.DumpRequest(), timeout=10)


@contextlib.asynccontextmanager
async def serve(
    channels: Channels, address: str, service: InspectionService
) -> AsyncIterator[None]:
    """Serve until the context ends; also clean up after a failed assertion."""
    server = channels.make_server(address)
    admin_pb2_grpc.add_InspectionServicer_to_server(service, server)
    await server.start()
    try:
        yield
    finally:
        await channels.close()
        await server.stop(None)


@pytest.fixture
def address() -> Iterator[str]:
    block = AddressBlock()
    yield block.allocate_address(7000)
    block.close()


async def test_peers_without_a_certificate_are_refused_and_counted(
    tmp_path: Path, address: str
) -> None:
    make_authority(tmp_path)
    tls = make_certificate(tmp_path, address.partition(":")[0])
    counters = Counters()
    channels = Channels(tls, counters)
    authority = (tmp_path / "ca.pem").read_bytes()
    make_authority(tmp_path / "other")
    other = make_certificate(tmp_path / "other", address.partition(":")[0])
    refused_channels = [
        grpc.aio.insecure_channel(address),
        grpc.aio.secure_channel(address, grpc.ssl_channel_credentials(authority)),
        grpc.aio.secure_channel(
            address,
            grpc.ssl_channel_credentials(
                authority, other.key.read_bytes(), other.certificate.read_bytes()
            ),
        ),
    ]
    async with serve(channels, address, InspectionService(dict, counters)):
        for channel in refused_channels:
            with pytest.raises(grpc.aio.AioRpcError) as refused:
                await call_dump(channel)
            assert refused.value.code() is grpc.StatusCode.UNAVAILABLE
            await channel.close(None)
        assert (await call_dump(channels.get(address))).json
        await wait_for(
            lambda: counters.get("tls.refused") >= 3, "refused handshakes counted"
        )


@pytest.mark.parametrize("mode", [0o640, 0o604])
def test_key_that_others_may_read_is_refused(tmp_path: Path, mode: int) -> None:
    make_authority(tmp_path)
    tls = make_certificate(tmp_path, "127.0.0.1")
    tls.key.chmod(mode)
    checked = Channels(tls).refresh_certificates()
    assert isinstance(checked, Err)
    assert checked.err_value.peer == str(tls.key)
    assert f"mode {mode:04o}" in checked.err_value.message


async def test_rotation_drops_no_call(tmp_path: Path, address: str) -> None:
    make_authority(tmp_path)
    host = address.partition(":")[0]
    tls = make_certificate(tmp_path, host)
    counters = Counters()
    channels = Channels(tls, counters)
    service = SlowInspection()
    async with serve(channels, address, service):
        previous_channel = channels.get(address)
        pending_call = asyncio.create_task(call_dump(previous_channel))
        await service.requested.wait()
        # Under the new authority the previous certificates are no longer valid.
        make_authority(tmp_path)
        make_certificate(tmp_path, host)
        assert channels.force_refresh().is_ok()
        service.release.set()
        assert channels.get(address) is not previous_channel
        assert (await call_dump(channels.get(address))).json == "{}"
        assert (await pending_call).json == "{}"
        assert counters.get("tls.reloaded") == 1
        tls.certificate.write_text("damaged")
        assert channels.force_refresh().is_err()
        assert (await call_dump(channels.get(address))).json == "{}"
