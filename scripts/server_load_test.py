"""Tests scripts/server_load on log lines."""
import importlib.machinery
import importlib.util
import pathlib

SCRIPT = pathlib.Path(__file__).resolve().parent / "server_load"
loader = importlib.machinery.SourceFileLoader("server_load", str(SCRIPT))
spec = importlib.util.spec_from_loader("server_load", loader)
server_load = importlib.util.module_from_spec(spec)
loader.exec_module(server_load)


def sent(time, host, server="a"):
    return (f'  1.0 {host} {{"time":{time},"process":"{host}",'
            f'"event":"request_sent","server":"{server}"}}')


LINES = [
    sent(10.0, "one"),
    sent(10.9, "two"),
    sent(11.0, "two"),  # a second after the first, so not in the same second
    sent(11.8, "one"),
    sent(11.85, "one"),
    sent(10.0, "one", "b"),
    '{"time":10.5,"process":"one","event":"request_ended","server":"a"}',
    '{"time":10.5,"process":"one","event":"request_sent","ser',
]

by_server = server_load.read_sent(LINES)
assert sorted(by_server) == ["a", "b"], by_server
busiest = server_load.busiest_second("a", by_server["a"])
assert busiest == server_load.BusiestSecond("a", 10.9, 4, 2, 2), busiest
table = server_load.format_table(
    [server_load.busiest_second(name, by_server[name]) for name in by_server])
assert table[1].startswith("a "), table
