"""Tests of the command that the deploy file starts a host with."""

import http.client
import importlib.util
import json
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest

from foxtailseam.installation import interpreter
from foxtailseam_bench._ports import free_ports

ROOT = Path(__file__).parents[3]
SCRIPT = "scripts/start_host.py"
START_SECONDS = 15.0
PACKAGES = (
    "foxtailseam",
    "grpclib",
    "h2",
    "hdrh",
    "hpack",
    "httptools",
    "hyperframe",
    "msgspec",
    "multidict",
    "pyhdrh",
    "result",
)


class Checkout:
    """A repository with a build: the script, and links to the project's packages."""

    def __init__(self, root):
        self.root = root
        self.packages = root / "target" / "deps"
        (root / "scripts").mkdir(parents=True)
        shutil.copyfile(ROOT / SCRIPT, root / SCRIPT)
        (root / "foxtailseam").symlink_to(ROOT / "foxtailseam")
        self.packages.mkdir(parents=True)
        for name in PACKAGES:
            spec = importlib.util.find_spec(name)
            path = Path(spec.origin)
            if spec.submodule_search_locations:
                path = path.parent
            (self.packages / path.name).symlink_to(path)

    def start(self, directory, **environment):
        """Start a host with nothing but the variables that the platform passes on."""
        callers, self.readiness, peers = free_ports(3)
        settings = {
            "node_name": "host-1",
            "ip": "127.0.0.1",
            "zone": "d1",
            "listen_addrs": {
                "frontend": f"127.0.0.1:{callers}",
                "readiness": f"127.0.0.1:{self.readiness}",
                "control_plane": f"127.0.0.1:{peers}",
            },
            "seeds": [],
            "platform": {"address": "127.0.0.1:9"},
            "bounds": {"grace_s": 6, "retry_slack": 50},
        }
        path = directory / "settings.json"
        path.write_text(json.dumps(settings))
        inherited = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        return subprocess.Popen(
            [sys.executable, "-P", "-S", SCRIPT, f"127.0.0.1:{callers}"],
            cwd=self.root,
            env=inherited | {"FOXTAILSEAM_CONFIG": str(path)} | environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )

    def is_answered(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.readiness, timeout=5)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status in (200, 503)
        except OSError:
            return False
        finally:
            connection.close()

    def check_it_serves(self, process):
        end = time.monotonic() + START_SECONDS
        try:
            while not self.is_answered():
                assert process.poll() is None, process.stderr.read().decode()
                assert time.monotonic() < end, "the host did not start in time"
                time.sleep(0.05)
        finally:
            process.kill()
            process.communicate()


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path / "checkout")


def failed_start(checkout, directory):
    """Return exit code and standard error of a start that must fail."""
    process = checkout.start(directory)
    _, errors = process.communicate(timeout=START_SECONDS)
    return process.returncode, errors.decode()


class TestSearchPath:
    @pytest.mark.parametrize(
        "environment",
        [
            {},
            {"PYTHONPATH": "target/deps"},
            {"PYTHONPATH": "/nowhere:other"},
            {"PYTHONNOUSERSITE": "1", "PYTHONSAFEPATH": "1"},
        ],
        ids=["none", "relative", "elsewhere", "safe"],
    )
    def test_the_packages_are_found_whatever_the_environment_says(
        self, checkout, tmp_path, environment
    ):
        checkout.check_it_serves(checkout.start(tmp_path, **environment))

    def test_another_package_of_the_same_name_is_not_used(self, checkout, tmp_path):
        other = tmp_path / "other" / "foxtailseam"
        other.mkdir(parents=True)
        (other / "__init__.py").write_text("raise SystemExit(3)")
        process = checkout.start(tmp_path, PYTHONPATH=str(other.parent))
        checkout.check_it_serves(process)

    def test_packages_named_by_the_environment_alone_are_found(
        self, checkout, tmp_path
    ):
        elsewhere = tmp_path / "elsewhere"
        checkout.packages.rename(elsewhere)
        process = checkout.start(tmp_path, PYTHONPATH=str(elsewhere))
        checkout.check_it_serves(process)

    def test_nothing_is_written_to_the_checkout(self, checkout, tmp_path):
        def names():
            return sorted(str(path) for path in checkout.root.rglob("*"))

        before = names()
        folders = [path for path in checkout.root.rglob("*") if path.is_dir()]
        for folder in [checkout.root, *folders]:
            if not folder.is_symlink():
                folder.chmod(0o555)
        checkout.check_it_serves(checkout.start(tmp_path))
        assert names() == before


class TestIncompleteInstallation:
    @pytest.mark.parametrize("name", ["msgspec", "httptools", "grpclib"])
    def test_a_missing_package_is_named_in_one_line(self, checkout, tmp_path, name):
        (checkout.packages / name).unlink()
        code, errors = failed_start(checkout, tmp_path)
        assert code == os.EX_CONFIG
        assert errors.count("\n") == 1
        version = ".".join(map(str, sys.version_info[:3]))
        for part in (name, version, str(checkout.packages), "build line"):
            assert part in errors

    def test_a_missing_build_is_told_in_the_same_way(self, checkout, tmp_path):
        shutil.rmtree(checkout.packages)
        code, errors = failed_start(checkout, tmp_path)
        assert code == os.EX_CONFIG
        assert errors.count("\n") == 1
        assert "no complete build" in errors

    def test_a_file_that_was_cut_off_is_told_in_the_same_way(self, checkout, tmp_path):
        (checkout.packages / "result").unlink()
        (checkout.packages / "result.py").write_text("class Result(\n")
        code, errors = failed_start(checkout, tmp_path)
        assert code == os.EX_CONFIG
        assert errors.count("\n") == 1
        assert "result.py" in errors

    def test_the_interpreter_of_the_build_is_named_beside_this_one(
        self, checkout, tmp_path
    ):
        (checkout.packages / "msgspec").unlink()
        manifest = {
            "requirements": "",
            "interpreter": "cpython-39 riscv64",
            "code": "",
            "files": {},
        }
        (checkout.packages / "installation.json").write_text(json.dumps(manifest))
        _, errors = failed_start(checkout, tmp_path)
        assert "cpython-39 riscv64" in errors
        assert interpreter() in errors
