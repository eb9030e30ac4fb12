"""`flintridge completion`: scripts with which shells complete commands, options and scenario names."""

import click
from click.shell_completion import get_completion_class

from flintridge.cli.exits import CommandError


@click.command
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> None:
    """Print the completion script of SHELL.

    \b
    Examples:
      flintridge completion bash > ~/.local/share/bash-completion/completions/flintridge
      flintridge completion zsh > ~/.zfunc/_flintridge
      flintridge completion fish > ~/.config/fish/completions/flintridge.fish
    """
    from flintridge.cli.main import main

    completion_class = get_completion_class(shell)
    if completion_class is None:  # guards against a version of click that no longer supports the shell
        raise CommandError(f"{shell}: completion is not supported")
    click.echo(completion_class(main, {}, "flintridge", "_FLINTRIDGE_COMPLETE").source())
