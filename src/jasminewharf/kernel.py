"""The micro-kernel: named services, started in order and stopped in reverse."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, ClassVar

from . import defaults, events
from .exceptions import DuplicateRegistration, MissingService, ServiceFailed

__all__ = ["Kernel", "Service"]

_logger = logging.getLogger(__name__)


class Service:
    """A task that owns its sockets and its state.

    Attributes:
        name: The name under which other services find it.
        requires: Names of the services that must be started before it.
    """

    name: ClassVar[str] = ""
    requires: ClassVar[tuple[str, ...]] = ()

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def drain(self) -> None:
        """Take no new work and return when the work in flight has ended."""

    async def stop(self) -> None:
        """Cancel the service's tasks until all have ended.

        A library may drop a cancellation that meets the end of what it waits for,
        so that one is not enough.
        """
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(list(self._tasks), timeout=defaults.CANCEL_AGAIN_S)

    def spawn(
        self, work: Coroutine[Any, Any, Any], *, essential: bool = False
    ) -> asyncio.Task[Any]:
        """Start a task that ends with the service.

        Args:
            work: What the task runs.
            essential: Whether an error in it stops the process.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(
            self._end_essential_task if essential else self._end_task
        )
        return task

    def _end_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.emit(
                _logger, events.TASK_FAILED, service=self.name, error=task.exception()
            )

    def _end_essential_task(self, task: asyncio.Task[Any]) -> None:
        self._end_task(task)
        if not task.cancelled() and task.exception() is not None:
            self.kernel.report_failure(self.name)


class Kernel:
    """Holds the services of one process.

    Args:
        settings: The settings object, passed whole to every service.
        settings_file: The file that the settings came from; empty if there is none.
    """

    def __init__(self, settings: Any, settings_file: str = "") -> None:
        self.settings = settings
        self.settings_file = settings_file
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._ended = asyncio.Event()
        self.failure: ServiceFailed | None = None

    def register(self, service: Service) -> Service:
        """Add a service under its name.

        Raises:
            DuplicateRegistration: If the name is taken.
        """
        if service.name in self._services:
            raise DuplicateRegistration(service.name)
        self._services[service.name] = service
        return service

    def find(self, name: str) -> Any:
        """Return the service called ``name``.

        Raises:
            MissingService: If there is none.
        """
        try:
            return self._services[name]
        except KeyError:
            raise MissingService(name) from None

    def has(self, name: str) -> bool:
        """Return whether a service called ``name`` is registered."""
        return name in self._services

    async def start(self) -> None:
        """Start every service after those it requires, until a stop is asked for."""
        for service in list(self._services.values()):
            if self._ended.is_set():
                return
            await self._start_service(service)

    async def _start_service(self, service: Service) -> None:
        if service in self._started:
            return
        for name in service.requires:
            await self._start_service(self.find(name))
        await service.start()
        self._started.append(service)
        events.emit(_logger, events.SERVICE_STARTED, service=service.name)

    async def stop(self) -> None:
        """Drain all services, then stop them, last started first."""
        for service in reversed(self._started):
            await service.drain()
        while self._started:
            service = self._started.pop()
            await service.stop()
            events.emit(_logger, events.SERVICE_STOPPED, service=service.name)

    def report_failure(self, name: str) -> None:
        """Note that an essential task died; the process will stop."""
        if self.failure is None:
            self.failure = ServiceFailed(name)
        self._ended.set()

    def request_stop(self) -> None:
        """Ask :meth:`run` to stop the services and return."""
        self._ended.set()

    async def run(self) -> None:
        """Start, wait for a stop request or a failure, and stop.

        Raises:
            ServiceFailed: If an essential task died.
        """
        try:
            await self._start_until_ended()
            await self._ended.wait()
        finally:
            await self.stop()
        if self.failure is not None:
            raise self.failure

    async def _start_until_ended(self) -> None:
        """Start, without waiting any longer once a stop is asked for."""
        starting = asyncio.create_task(self.start())
        ended = asyncio.create_task(self._ended.wait())
        try:
            await asyncio.wait((starting, ended), return_when=asyncio.FIRST_COMPLETED)
            if ended.done():
                starting.cancel()
            await asyncio.wait((starting,))
        finally:
            ended.cancel()
            starting.cancel()
        if not starting.cancelled():
            starting.result()
