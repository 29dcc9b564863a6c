"""Builds the single-file executable from the locked dependencies."""

from __future__ import annotations

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOCK = ROOT / "requirements.lock"
LOCKED_PATTERN = re.compile(r"^([a-z0-9-]+)==(\S+) ", re.MULTILINE)
ENTRY_POINT = "papayarelay.__main__:main"
# -s and -E ignore the user site directory and PYTHONPATH.
INTERPRETER = "/usr/bin/env -S python3.11 -sE"
# Only tests, the demo and benchmarks use these; a released node must not contain
# fault injection.
EXCLUDED = ("tests", "standins", "bench", "demo.py", "local.py")
EXCLUDED_LIBRARY_DIRECTORIES = ("tests", "testing", "__pycache__")
TIMESTAMP_S = "1700000000"


def stage(directory: Path) -> None:
    """Copy the package and its locked dependencies into a directory.

    Raises RuntimeError when an installed version differs from the lock file.
    """
    for name, version in LOCKED_PATTERN.findall(LOCK.read_text()):
        distribution = metadata.distribution(name)
        if distribution.version != version:
            raise RuntimeError(
                f"{name} {distribution.version} is installed, {version} is locked"
            )
        _copy_distribution(distribution, directory)
    shutil.copytree(
        ROOT / "papayarelay",
        directory / "papayarelay",
        ignore=shutil.ignore_patterns(*EXCLUDED, "__pycache__"),
    )


def build_shiv(output: Path) -> None:
    """Build a zipapp that needs an installed Python 3.11."""
    with tempfile.TemporaryDirectory() as directory:
        stage(Path(directory))
        command = [_tool("shiv"), "--site-packages", directory, "--compressed"]
        command += ["--reproducible", "-e", ENTRY_POINT, "-p", INTERPRETER]
        environment = {**os.environ, "SOURCE_DATE_EPOCH": TIMESTAMP_S}
        _run([*command, "-o", str(output)], environment)


def build_pyinstaller(output: Path) -> None:
    """Build an executable that bundles Python, for comparison."""
    with tempfile.TemporaryDirectory() as directory:
        staged, work = Path(directory, "staged"), Path(directory, "work")
        staged.mkdir()
        stage(staged)
        # PyInstaller cannot use a module named __main__ as its entry script.
        script = Path(directory, "start.py")
        script.write_text(
            "import sys\nfrom papayarelay.__main__ import main\nsys.exit(main())\n"
        )
        command = [_tool("pyinstaller"), "--onefile", "--name", output.name]
        command += ["--paths", str(staged), "--collect-submodules", "papayarelay"]
        command += ["--copy-metadata", "opentelemetry-sdk"]
        command += ["--copy-metadata", "opentelemetry-api"]
        command += ["--collect-submodules", "opentelemetry", "--log-level", "ERROR"]
        command += ["--distpath", str(output.parent), "--workpath", str(work)]
        # PyInstaller collects submodules in a subprocess that does not get --paths.
        environment = {**os.environ, "PYTHONPATH": str(staged)}
        _run([*command, "--specpath", directory, str(script)], environment)


def _copy_distribution(distribution: metadata.Distribution, target: Path) -> None:
    for file in distribution.files or ():
        if file.parts[0] == ".." or file.is_absolute():
            continue
        if set(file.parts[:-1]) & set(EXCLUDED_LIBRARY_DIRECTORIES):
            continue
        source = Path(distribution.locate_file(file))
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, destination)


def _tool(name: str) -> str:
    return str(Path(sys.executable).parent / name)


def _run(command: list[str], environment: dict[str, str]) -> None:
    subprocess.run(command, env=environment, check=True, stdout=subprocess.DEVNULL)


def main(argv: list[str] | None = None) -> int:
    """Build one variant; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("output", type=Path, help="file to write")
    parser.add_argument(
        "--pyinstaller", action="store_true", help="build the PyInstaller variant"
    )
    namespace = parser.parse_args(argv)
    # The archive contains file modes; a fixed umask keeps the build reproducible.
    os.umask(0o022)
    output = namespace.output.resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    build = build_pyinstaller if namespace.pyinstaller else build_shiv
    build(output)
    print(f"{namespace.output}: {output.stat().st_size / 2**20:.1f} MiB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
