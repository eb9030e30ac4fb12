"""`flintridge completion`: what a shell needs to complete commands, options and scenario names."""

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

    kind = get_completion_class(shell)
    if kind is None:  # guards against a click that no longer knows one of them
        raise CommandError(f"{shell}: no completion for it")
    click.echo(kind(main, {}, "flintridge", "_FLINTRIDGE_COMPLETE").source())
