"""A worker process: takes jobs on its standard input, plays them one by one, writes the replies.

With `--tree DIR` the node's modules come from DIR while the lab stays this one. Only the standard library is
imported at the top: whatever would import the node has to wait for `graft`.
"""

import importlib
import io
import os
import queue
import signal
import sys
import threading
import traceback
from contextlib import suppress
from pathlib import Path
from typing import Any

NODE_MODULES = ("api", "policy", "node.py", "config", "upstream")


class NodeTreeError(Exception):
    """The directory holds no node that could be played."""


def check_tree(tree: Path) -> None:
    """Check that a source tree holds a whole node: modules of this tree would make a mixture of two nodes.

    Raises:
        NodeTreeError: A module is missing; it is named.
    """
    missing = [name for name in ("__init__.py", *NODE_MODULES) if not (tree / "flintridge" / name).exists()]
    if missing:
        raise NodeTreeError(f"{tree}: no node to play: flintridge/{missing[0]} is missing")


def graft(tree: Path) -> None:
    """Take `flintridge` and all its modules but the lab from `tree`, in this process and those it starts.

    Must come before anything of the lab that imports the node.

    Raises:
        NodeTreeError: The tree holds no whole node.
    """
    import flintridge

    check_tree(tree)
    package = tree / "flintridge"
    for name in [name for name in sys.modules if name.startswith("flintridge.")]:
        if not name.startswith("flintridge.lab"):
            del sys.modules[name]
            # And from the package: `from flintridge import api` would find ours there, and one node would
            # be made of two sets of classes.
            vars(flintridge).pop(name.split(".")[1], None)
    # `flintridge.lab` is loaded and stays ours; every other module is looked for in the tree first.
    flintridge.__path__ = [str(package), *flintridge.__path__]
    init = package / "__init__.py"
    exec(compile(init.read_bytes(), str(init), "exec"), vars(flintridge))
    # Node processes that a loopback run starts: from the tree as well, and never from the current folder.
    os.environ["PYTHONPATH"] = os.pathsep.join([str(tree), os.environ.get("PYTHONPATH", "")])
    os.environ["PYTHONSAFEPATH"] = "1"


def descendants(pid: int) -> list[int]:
    """Return all processes below this one, nearest first; those in sessions of their own too."""
    found = [pid]
    for parent in found:
        try:
            threads = os.listdir(f"/proc/{parent}/task")
            for thread in threads:
                children = Path(f"/proc/{parent}/task/{thread}/children").read_text()
                found += [int(child) for child in children.split()]
        except OSError:
            continue  # it has just ended, or there is no /proc here
    return found[1:]


def kill_tree(pid: int) -> None:
    """Kill a worker, its process group, and whatever it started elsewhere."""
    children = descendants(pid)
    with suppress(ProcessLookupError, PermissionError):
        os.killpg(pid, signal.SIGKILL)
    for child in children:
        with suppress(ProcessLookupError, PermissionError):
            os.kill(child, signal.SIGKILL)


def _watch(inbox: io.BufferedReader, jobs: "queue.SimpleQueue[bytes]") -> None:
    """Read jobs; at the pipe's end whoever gave them is gone, and nothing of this group may stay."""
    while len(head := inbox.read(8)) == 8:
        jobs.put(inbox.read(int.from_bytes(head, "big")))
    for child in descendants(os.getpid()):
        with suppress(ProcessLookupError, PermissionError):
            os.kill(child, signal.SIGKILL)
    if os.getpgrp() == os.getpid():
        os.killpg(os.getpid(), signal.SIGKILL)
    os._exit(1)


def _play(body: bytes) -> Any:
    """Play an encoded job and return the reply."""
    import msgspec

    from flintridge.lab.experiment.jobs import Job, Reply

    try:
        job = msgspec.json.decode(body, type=Job)
        module, _, name = job.runner.partition(":")
        run = getattr(importlib.import_module(module), name)
        options: dict[str, Any] = {"backend": job.backend, "defect": job.defect}
        if job.events:
            options["events"] = Path(job.events)
        if job.trace:
            options["trace"] = Path(job.trace)
        return Reply(result=run(job.scenario, job.seed, **options))
    except Exception as error:
        last_line = traceback.format_exception_only(error)[-1].strip()
        return Reply(error=last_line, trace=traceback.format_exc())


def main(arguments: list[str]) -> int:
    """Serve until the input ends; return 2 for a tree without a node."""
    if arguments[:1] == ["--tree"]:
        try:
            graft(Path(arguments[1]))
        except (NodeTreeError, SyntaxError) as error:
            print(error, file=sys.stderr)
            return 2
    # The pipes move away from 0 and 1: what a run prints, or its child reads, must not get between frames.
    inbox = os.fdopen(os.dup(0), "rb")
    outbox = os.fdopen(os.dup(1), "wb")
    null_input = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null_input, 0)
    os.dup2(2, 1)
    jobs: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    threading.Thread(target=_watch, args=(inbox, jobs), daemon=True).start()
    from flintridge.lab.experiment.jobs import frame

    while True:
        outbox.write(frame(_play(jobs.get())))
        outbox.flush()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
