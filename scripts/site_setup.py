"""A deployment of several data centres on a Fleet, with its records."""

from fleet import Failed, Stream, call

import time

ACCOUNT = "band-secretaries"
REGION = "viti-levu"
MODEL = "drafting"
SERVICE = "entries"


class Site:
    """Names of the processes of a deployment, by role."""

    def __init__(self):
        self.entry_hosts = []
        self.agents = []    # (name, data centre, service)
        self.engines = []
        self.services = []

    def agent_names(self):
        return [name for name, _, _ in self.agents]

    def own_processes(self):
        return self.entry_hosts + self.agent_names()


def build(fleet, data_centres, engines_each=1, services_each=1,
          entry_hosts_each=1, log_flags=None, **engine_flags):
    """Starts the stand-ins and writes the settings of all processes."""
    site = Site()
    fleet.stand_in("log", "log", **(log_flags or {}))
    for data_centre in data_centres:
        for kind, service, count, names in (
                ("engine", MODEL, engines_each, site.engines),
                ("service", SERVICE, services_each, site.services)):
            for _ in range(count):
                number = len(names) + 1
                back_end = f"{kind}-{number}"
                flags = ({"model": MODEL, **engine_flags}
                         if kind == "engine" else {})
                address = fleet.stand_in(back_end, kind, **flags)
                names.append(back_end)
                name = f"{'draft' if kind == 'engine' else 'entries'}-{number}"
                fleet.add_process(name, "endpoint", data_centre, back_end={
                    "endpoint": name, "kind": kind, "service": service,
                    "address": address})
                site.agents.append((name, data_centre, service))
        for _ in range(entry_hosts_each):
            name = f"entry-{len(site.entry_hosts) + 1}"
            fleet.add_process(name, "entry_host", data_centre)
            site.entry_hosts.append(name)
    return site


def publish(fleet, site):
    """Publishes every record of the deployment."""
    accounts = [{"name": ACCOUNT, "share": 1}]
    fleet.publish("account", ACCOUNT, {"share": 1})
    fleet.publish("model_group", MODEL, {
        "model": MODEL, "ranks": 2, "experts": 8, "accounts": accounts})
    fleet.publish("plain_service", SERVICE, {
        "accounts": accounts,
        "calls": [{"method": "GET", "path_prefix": "/", "repeatable": True}]})
    for data_centre in sorted({where for _, where, _ in site.agents}):
        fleet.publish("data_centre", data_centre,
                      {"state": "in_service", "region": REGION})
    for name, data_centre, service in site.agents:
        fleet.publish("endpoint", name, {
            "service": service, "data_centre": data_centre,
            "addresses": [fleet.links[name]], "state": "in_service"})


def start(fleet, site):
    """Starts all processes and waits until each entry host serves."""
    for name in site.own_processes():
        fleet.start(name, peers=site.entry_hosts)
    fleet.wait_ready(*site.own_processes())
    for entry_host in site.entry_hosts:
        wait_for_service(fleet, entry_host)


def wait_for_service(fleet, entry_host):
    """The first requests after a start may meet links that are not up yet."""
    for _ in range(100):
        status, _ = call(fleet.addresses[entry_host], "GET",
                         f"/services/{SERVICE}/fees",
                         headers={"X-Client-Account": ACCOUNT})
        if status == 200:
            stream = Stream(fleet.addresses[entry_host], "first request", 1)
            if stream.read_all():
                return
        time.sleep(0.1)
    raise Failed(f"{entry_host} does not reach its endpoints")


def post_fee(fleet, entry_host, key, body, timeout=30):
    """A call that may not be repeated."""
    return call(fleet.addresses[entry_host], "POST",
                f"/services/{SERVICE}/fees", body=body, timeout=timeout,
                headers={"X-Client-Account": ACCOUNT, "Idempotency-Key": key})


def service_runs(fleet, site):
    """Every line of the services' own records: "<method> <key> <body>"."""
    lines = []
    for service in site.services:
        lines += fleet.get(service, "/control/runs")[1].splitlines()
    return lines
