"""Implements the command line of hawthornfold."""

from hawthornfold.commands.line import main

__all__ = ['main']
