"""Each stand-in starts as a process, tells its port, and ends when killed."""

import asyncio
import subprocess
import sys

import pytest

from jasminewharf.fakes import fetch


@pytest.mark.parametrize(
    "arguments, path",
    [
        (["engine", "--model", "m:100:disk"], "/admin/state"),
        (["plain"], "/anything"),
        (["store"], "/status"),
        (["hosts", "--host", "h:z"], "/hosts"),
    ],
)
def test_process_serves_and_ends(arguments, path):
    command = [sys.executable, "-m", "jasminewharf.fakes", *arguments]
    command += ["--listen", "127.0.0.1:0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            url = "http://" + process.stdout.readline().split()[-1]
            status, _ = asyncio.run(fetch("GET", url + path))
            assert status == 200
            asyncio.run(fetch("POST", url + "/fake/kill"))
            assert process.wait(10) == 0
        finally:
            process.kill()
