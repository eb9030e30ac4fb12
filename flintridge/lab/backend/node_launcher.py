"""Starts the processes of nodes, with their configuration files and environments."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import flintridge
from flintridge.lab.backend.node_faults import NodeFaults
from flintridge.lab.fabric import Fabric
from flintridge.lab.scenario.model import Scenario

ROOT = Path(flintridge.__file__).resolve().parent.parent
CHILD = Path(__file__).with_name("child.py")
SETTINGS_PREFIX = "PROXY_"  # prefix of the environment variables that a node reads


class NodeLauncher:
    """Starts nodes, with their files in a folder for one run.

    Attributes:
        folder: The folder for the files of this run.
        faults: The faults of the nodes' operating systems.
    """

    def __init__(self, fabric: Fabric, scenario: Scenario, command: Sequence[str]) -> None:
        """Create the folder.

        Args:
            fabric: The fabric, which has the nodes' addresses.
            scenario: The scenario.
            command: The command for nodes that no operating system fault may affect.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="flintridge-lab-"))
        self.faults = NodeFaults(self.folder, scenario)
        self._fabric = fabric
        self._max_descriptors = scenario.nodes.sockets
        self._command = tuple(command)

    def config_path(self, name: str) -> Path:
        """Return the path of a node's configuration file.

        Args:
            name: The node's name.
        """
        return self.folder / f"{name}.json"

    def write_config(self, name: str, config: dict[str, Any]) -> None:
        """Replace a configuration file atomically, because a node may read it at any time.

        Args:
            name: The node's name.
            config: The content of the file.
        """
        new = self.config_path(name).with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path(name))

    def write_variant(self, node: str, name: str, **changes: object) -> None:
        """Write a copy of a node's configuration file with some values changed.

        Args:
            node: The node's name.
            name: The name of the variant.
            **changes: The values to change.
        """
        config = json.loads(self.config_path(node).read_text())
        self.config_path(name).write_text(json.dumps({**config, **changes}))

    def launch(self, node: str, config: Path, seed: str = "") -> subprocess.Popen[bytes]:
        """Start a process of a node.

        Args:
            node: The node's name.
            config: The path of its configuration file.
            seed: The seed for drawing its operating system faults.

        Returns:
            The process. It is killed when this process ends, and all its output goes to a pipe.

        Raises:
            OSError: If the process cannot be started.
        """
        environment = self._environment(node, config)
        command = self._command
        if self.faults.may_affect(node):
            command = self.faults.command(node, seed)
            environment |= self.faults.environment(node)
        helper = [sys.executable, "-I", "-S", str(CHILD), str(os.getpid()), str(self._max_descriptors)]
        return subprocess.Popen(
            [*helper, *command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            start_new_session=True,  # Ctrl-C at the terminal must reach only the lab
        )

    def remove_folder(self) -> None:
        """Remove the run's folder."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def _environment(self, node: str, config: Path) -> dict[str, str]:
        host, port = self._fabric.address("listen", node)
        discovery_host, discovery_port = self._fabric.address("discovery", node)
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(SETTINGS_PREFIX)
        }
        environment["PROXY_CONFIG"] = str(config)
        environment["PROXY_NAME"] = node
        environment["PROXY_LISTEN"] = f"{host}:{port}"
        environment["PROXY_DISCOVERY"] = f"{discovery_host}:{discovery_port}"
        return environment
