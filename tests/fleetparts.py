"""Builders of configurations, servers and reports for tests of decisions."""

from jasminewharf.decisions.configurations import (
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    ServiceSpec,
    ServiceWeight,
    WorkspaceSpec,
)
from jasminewharf.decisions.directory import Directory, Server
from jasminewharf.dialects.fleet import EngineStatus, HeldModel, ListedServer
from jasminewharf.messages.servers import EngineReport

WEIGHTS_MB = 70_000.0


def build_model(name, **changes):
    model = ModelSpec(name, WEIGHTS_MB, 6.0, 1.2, 0.6, 60.0)
    return model._replace(**changes)


def build_engine(
    models=("m0", "m1", "m2", "m3"), places=2, adapter_slots=2, disk_mb=0.0
):
    return EngineSpec(
        48,
        places * WEIGHTS_MB + 5_000,
        adapter_slots,
        3.0,
        tuple(map(build_model, models)),
        disk_mb,
    )


def build_route(name="chat", **changes):
    route = Route(
        name,
        "a.example",
        f"/{name}/",
        "stream",
        12.0,
        0.5,
        2,
        (ServiceWeight("llm", 1.0),),
        2,
        False,
        True,
        0.15,
    )
    return route._replace(**changes)


def build_workspace(name="guild", keys=("key-1",), rate=1_000.0, burst=1_000.0):
    return WorkspaceSpec(name, tuple(keys), 1, rate, burst, 200.0)


def build_configuration(**changes):
    configuration = Configuration(
        1,
        (build_route(), build_route("orders", kind="unsafe", attempts=1)),
        (ServiceSpec("llm", 300, build_engine()), ServiceSpec("desk", 100, None)),
        (build_workspace(),),
        None,
    )
    return configuration._replace(**changes)


def build_listed(server="i-1", address="10.0.0.1:80", **changes):
    listed = ListedServer(
        server, "llm", address, "zone-a", "v1", 48, False, -1, 1_000, ()
    )
    return listed._replace(**changes)


def build_report(address="10.0.0.1:80", models=(), **changes):
    report = EngineReport(
        address,
        True,
        1_000,
        [
            held if isinstance(held, HeldModel) else HeldModel(held, 1, ())
            for held in models
        ],
        "",
        False,
        0,
        [],
        0.0,
        0.0,
        [],
        [],
        0,
        0,
        0,
        100_000,
    )
    return report._replace(**changes)


def build_status(models=(), **changes):
    status = EngineStatus(
        1_000,
        False,
        0,
        tuple(
            held if isinstance(held, HeldModel) else HeldModel(held, 1, ())
            for held in models
        ),
        (),
        0,
        0,
        0,
        100_000,
        (),
        (),
        False,
    )
    return status._replace(**changes)


def build_server(name="i-1", models=(), now=0.0, **report):
    """Return a server whose agent reported at ``now``."""
    directory = Directory()
    address = f"10.0.0.{name.rpartition('-')[2]}:80"
    directory.take_list([build_listed(name, address)], now)
    directory.take_report(build_report(address, models, **report), now)
    server = directory.servers[name]
    assert isinstance(server, Server)
    return server
