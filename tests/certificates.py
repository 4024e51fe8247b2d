"""Self-signed certificates for tests of TLS."""

import asyncio
import datetime
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


def write_certificate(folder, name):
    """Write tls.crt and tls.key for ``name``."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    (folder / "tls.crt").write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    (folder / "tls.key").touch(mode=0o600)
    (folder / "tls.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


async def read_name(address, target="/"):
    """Return the name in the certificate of a server that answers 200."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
    raw = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.write(
        f"GET {target} HTTP/1.1\r\n".encode() + b"host: x\r\nconnection: close\r\n\r\n"
    )
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 200")
    return x509.load_der_x509_certificate(raw).subject.rfc4514_string()
