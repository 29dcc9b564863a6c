"""Runs ``papayarelay bench`` as a module: ``python -m papayarelay.bench``."""

import argparse
import sys

from .program import add_arguments, run

if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="papayarelay")
    add_arguments(parser.add_subparsers())
    sys.exit(run(parser.parse_args(["bench", *sys.argv[1:]])))
