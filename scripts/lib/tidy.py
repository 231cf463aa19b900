"""Runs clang-tidy on source files and remembers which ones had no finding.

Usage: tidy.py BUILD_DIR FILE...
A file is checked again if its preprocessed text, with comments, the checks or the
version of clang-tidy have changed. The results are kept in TIDY_CACHE_DIR, by default
in the user's cache folder; a file with a finding is never remembered.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CHECKS = ".clang-tidy"


def cache_folder():
    default = pathlib.Path.home() / ".cache" / "bilberry-tidy"
    folder = pathlib.Path(os.environ.get("TIDY_CACHE_DIR", default))
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def preprocess_command(entry):
    """The compile command of a file, changed to print its preprocessed text."""
    words = shlex.split(entry["command"])
    words = [word for word in words if os.path.basename(word) != "ccache" and word != "-c"]
    output = words.index("-o")
    del words[output:output + 2]
    return words + ["-E", "-CC", "-P"]


class Checker:
    def __init__(self, build):
        self.build = build
        self.cache = cache_folder()
        commands = json.loads((pathlib.Path(build) / "compile_commands.json").read_text())
        self.commands = {os.path.realpath(entry["file"]): entry for entry in commands}
        version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True)
        self.common = version.stdout + pathlib.Path(CHECKS).read_bytes()

    def key(self, path):
        """None if the file can't be preprocessed; clang-tidy then says why."""
        entry = self.commands.get(os.path.realpath(path))
        if entry is None:
            return None
        text = subprocess.run(preprocess_command(entry), cwd=entry["directory"],
                              capture_output=True)
        if text.returncode != 0:
            return None
        # Macros that name the file contain the folder of the checkout.
        relative = text.stdout.replace(os.getcwd().encode(), b"")
        return hashlib.sha256(self.common + path.encode() + relative).hexdigest()

    def check(self, path):
        """Returns the findings of a file as text, and whether it has any."""
        key = self.key(path)
        if key and (self.cache / key).exists():
            return "", False
        run = subprocess.run(["clang-tidy", "-p", self.build, "--quiet", "--warnings-as-errors=*",
                              path], capture_output=True, text=True)
        if run.returncode == 0 and key:
            (self.cache / key).touch()
        return run.stdout, run.returncode != 0


def main():
    checker = Checker(sys.argv[1])
    failed = False
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for text, has_findings in pool.map(checker.check, sys.argv[2:]):
            failed = failed or has_findings
            if has_findings:
                print(text, flush=True)
    sys.exit(1 if failed else 0)


main()
