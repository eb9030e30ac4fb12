"""A worker process that plays the jobs from its standard input and writes replies to its standard output.

With `--tree DIR`, the modules of the node are imported from DIR and those of the lab from this tree. Only the
standard library is imported at the top, because imports that load the node must follow
`redirect_node_imports`.
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
    """The source tree does not contain a complete node."""


def check_tree(tree: Path) -> None:
    """Check that a source tree contains a complete node.

    A missing module would be imported from this tree, and the node would be a mixture of two versions.

    Raises:
        NodeTreeError: A module is missing; the message names it.
    """
    missing = [name for name in ("__init__.py", *NODE_MODULES) if not (tree / "flintridge" / name).exists()]
    if missing:
        raise NodeTreeError(f"{tree}: the node is incomplete: flintridge/{missing[0]} is missing")


def redirect_node_imports(tree: Path) -> None:
    """Import `flintridge` and all its modules except the lab from `tree`.

    This applies to the current process and to the processes that it starts. It must be called before any
    module of the lab that imports the node is loaded.

    Raises:
        NodeTreeError: The tree does not contain a complete node.
    """
    import flintridge

    check_tree(tree)
    package = tree / "flintridge"
    for name in [name for name in sys.modules if name.startswith("flintridge.")]:
        if not name.startswith("flintridge.lab"):
            del sys.modules[name]
            # The attribute of the package is removed as well: `from flintridge import api` would find this
            # tree's module there, and one node would use two sets of classes.
            vars(flintridge).pop(name.split(".")[1], None)
    # `flintridge.lab` is already loaded from this tree; every other module is looked up in `tree` first.
    flintridge.__path__ = [str(package), *flintridge.__path__]
    init = package / "__init__.py"
    exec(compile(init.read_bytes(), str(init), "exec"), vars(flintridge))
    # Node processes of a loopback run also import from `tree`, and never from the current directory.
    os.environ["PYTHONPATH"] = os.pathsep.join([str(tree), os.environ.get("PYTHONPATH", "")])
    os.environ["PYTHONSAFEPATH"] = "1"


def descendants(pid: int) -> list[int]:
    """Return all descendants of a process, children first, including those in other sessions."""
    found = [pid]
    for parent in found:
        try:
            threads = os.listdir(f"/proc/{parent}/task")
            for thread in threads:
                children = Path(f"/proc/{parent}/task/{thread}/children").read_text()
                found += [int(child) for child in children.split()]
        except OSError:
            continue  # the process has just ended, or the system has no /proc
    return found[1:]


def kill_tree(pid: int) -> None:
    """Kill a worker, its process group, and its descendants in other process groups."""
    children = descendants(pid)
    with suppress(ProcessLookupError, PermissionError):
        os.killpg(pid, signal.SIGKILL)
    for child in children:
        with suppress(ProcessLookupError, PermissionError):
            os.kill(child, signal.SIGKILL)


def _read_jobs(job_pipe: io.BufferedReader, jobs: "queue.SimpleQueue[bytes]") -> None:
    """Read jobs into the queue. At the end of the pipe, kill all descendants and this process group.

    The end of the pipe means that the pool has ended, and no process of its workers may keep running.
    """
    while len(length_header := job_pipe.read(8)) == 8:
        jobs.put(job_pipe.read(int.from_bytes(length_header, "big")))
    for child in descendants(os.getpid()):
        with suppress(ProcessLookupError, PermissionError):
            os.kill(child, signal.SIGKILL)
    if os.getpgrp() == os.getpid():
        os.killpg(os.getpid(), signal.SIGKILL)
    os._exit(1)


def _play(body: bytes) -> Any:
    """Play an encoded job and return the `Reply`."""
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
    """Play jobs until the input ends; return 2 if the tree contains no complete node."""
    if arguments[:1] == ["--tree"]:
        try:
            redirect_node_imports(Path(arguments[1]))
        except (NodeTreeError, SyntaxError) as error:
            print(error, file=sys.stderr)
            return 2
    # The pipes are moved from descriptors 0 and 1, so that the output of a run and the reads of its child
    # processes do not interfere with the frames.
    job_pipe = os.fdopen(os.dup(0), "rb")
    reply_pipe = os.fdopen(os.dup(1), "wb")
    null_input = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null_input, 0)
    os.dup2(2, 1)
    jobs: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    threading.Thread(target=_read_jobs, args=(job_pipe, jobs), daemon=True).start()
    from flintridge.lab.experiment.jobs import frame

    while True:
        reply_pipe.write(frame(_play(jobs.get())))
        reply_pipe.flush()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
