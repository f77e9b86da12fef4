"""The command line."""

from hawthornfold.commands.line import main

__all__ = ['main']
