"""Tests the report of scripts/experiment on recorded figures."""
import importlib.machinery
import importlib.util
import math
import pathlib
import tempfile

SCRIPT = pathlib.Path(__file__).resolve().parent / "experiment"
loader = importlib.machinery.SourceFileLoader("experiment", str(SCRIPT))
spec = importlib.util.spec_from_loader("experiment", loader)
experiment = importlib.util.module_from_spec(spec)
loader.exec_module(experiment)


def day(worth, rules=None):
    return {"G": worth, "rules": rules or {}, "fault": None}


# Two variants, one day, three seeds, of recorded plays.
RESULTS = {
    ("before", "site", "scale-1", 1): day(0.494),
    ("before", "site", "scale-1", 2): day(0.570),
    ("before", "site", "scale-1", 3): day(0.567),
    ("after", "site", "scale-1", 1): day(0.514),
    ("after", "site", "scale-1", 2): day(0.600),
    ("after", "site", "scale-1", 3): day(0.577, {"MIXED": 1}),
}

lines = experiment.summarize(RESULTS, ["before", "after"])
# A broken rule comes first, whatever the worth.
assert lines[0] == "BROKEN after site scale-1 3: MIXED", lines[0]
row = next(line for line in lines if line.startswith("site scale-1"))
assert "0.544" in row and "0.564" in row and "+0.020" in row, row

# The interval is of the paired differences 0.02, 0.03 and 0.01.
mean, half = experiment.interval([0.02, 0.03, 0.01])
assert abs(mean - 0.02) < 1e-9, mean
assert abs(half - 4.30 * 0.01 / math.sqrt(3)) < 1e-9, half
assert math.isnan(experiment.interval([0.1])[1])

with tempfile.TemporaryDirectory() as folder:
    plot = pathlib.Path(folder) / "plot.svg"
    experiment.draw(RESULTS, ["before", "after"], plot)
    assert plot.read_text().count("<circle") == len(RESULTS)

    # A finished play is found by its label and not played again.
    journal = pathlib.Path(folder) / "journal"
    journal.mkdir()
    (journal / "a.json").write_text(
        '{"why":"round [after site scale-1 1]","days":[{"G":0.514}]}')
    (journal / "b.json").write_text(
        '{"why":"round [after site scale-1 2]","days":[]}')
    found = experiment.find_play(pathlib.Path(folder),
                                 "round [after site scale-1 1]")
    assert found and found[1]["G"] == 0.514
    assert experiment.find_play(pathlib.Path(folder),
                                "round [after site scale-1 2]") is None
print("experiment: all passed")
