"""Helpers shared by tests of a whole system."""

import asyncio
import json

from jasminewharf.services.client import HttpClient


async def call(address, method, target, key="", body=None, headers=()):
    """Send one request; return status, headers and body."""
    client = HttpClient(address)
    head = list(headers)
    if key:
        head.append(("authorization", f"Bearer {key}"))
    data = b"" if body is None else json.dumps(body).encode()
    response = await client.open(method, target, head, data)
    content = await response.read()
    client.close()
    return response.status, dict(response.headers), content


async def wait_until(check, timeout_s=10.0):
    """Wait until ``check()`` is true."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not check():
        assert asyncio.get_running_loop().time() < deadline, "condition not reached"
        await asyncio.sleep(0.01)


def chat(model="menu-vi-en", **fields):
    """Return the body of a chat call."""
    message = {"role": "user", "content": "Translate: pho"}
    return {"model": model, "max_tokens": 4, "messages": [message], **fields}
