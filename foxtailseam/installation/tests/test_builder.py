"""Tests of the build of ``target/deps``, on small repositories and without pip."""

import importlib.metadata
import json
import os
import shutil
import threading
from pathlib import Path

import pytest

from foxtailseam.installation import (
    Built,
    Failed,
    InstallError,
    Kept,
    TargetBuilder,
    UpToDate,
    interpreter,
    read_manifest,
)

ROOT = Path(__file__).parents[3]


class Installer:
    """Stands in for pip: writes a package, or fails as without a network."""

    def __init__(self):
        self.calls = 0
        self.has_network = True
        self.text = "VALUE = 1\n"
        self.on_installed = lambda folder: None

    def __call__(self, requirements, folder):
        self.calls += 1
        if not self.has_network:
            raise InstallError("no network")
        package = folder / "needed"
        package.mkdir()
        (package / "__init__.py").write_text("from needed.part import VALUE\n")
        (package / "part.py").write_text(self.text)
        (package / "extra.py").write_text("LATER = 2\n")
        self.on_installed(folder)


@pytest.fixture
def installer():
    return Installer()


@pytest.fixture
def builder(tmp_path, installer):
    front = tmp_path / "foxtailseam" / "front"
    (front / "tests").mkdir(parents=True)
    (front.parent / "__init__.py").write_text("")
    fleet = front.with_name("fleet")
    fleet.mkdir()
    (fleet / "_rpc.py").write_text("")
    (front / "__init__.py").write_text("import needed\n")
    (front / "tests" / "test_front.py").write_text("")
    (tmp_path / "requirements.txt").write_text("needed==1  # reason\n")
    return TargetBuilder(tmp_path, installer)


def change_manifest(builder, **changes):
    path = builder.folder / "installation.json"
    path.write_text(json.dumps(json.loads(path.read_bytes()) | changes))


def snapshot(folder):
    return {
        str(path): path.read_bytes() for path in folder.rglob("*") if path.is_file()
    }


class TestNewInstallation:
    def test_packages_and_compiled_code_are_installed_without_tests(self, builder):
        assert builder.build() == Built(installed=True)
        front = builder.folder / "foxtailseam" / "front"
        assert list((front / "__pycache__").glob("*.pyc"))
        assert not (front / "tests").exists()
        assert read_manifest(builder.folder).interpreter == interpreter()

    def test_compiled_code_holds_after_a_copy_that_keeps_no_times(
        self, builder, tmp_path
    ):
        builder.build()
        compiled = next((builder.folder / "needed" / "__pycache__").glob("__init__*"))
        # Bits of a compiled file that is valid whatever the time of its source is.
        assert int.from_bytes(compiled.read_bytes()[4:8], "little") == 0b01

    def test_without_a_network_it_fails_and_leaves_nothing(self, builder, installer):
        installer.has_network = False
        assert builder.build() == Failed("no network")
        assert not builder.folder.exists()

    def test_packages_that_cannot_be_imported_are_not_used(self, builder, installer):
        installer.text = "import not_there\n"
        outcome = builder.build()
        assert isinstance(outcome, Failed)
        assert "not_there" in outcome.problem
        assert not builder.folder.exists()


class TestRepeatedBuild:
    @pytest.fixture(autouse=True)
    def built(self, builder):
        builder.build()

    def test_a_second_run_changes_nothing(self, builder, installer):
        before = snapshot(builder.folder)
        assert builder.build() == UpToDate()
        assert installer.calls == 1
        assert snapshot(builder.folder) == before

    def test_changed_code_needs_no_network(self, builder, installer):
        installer.has_network = False
        source = builder.root / "foxtailseam" / "front" / "__init__.py"
        source.write_text("import needed.extra\n")
        assert builder.build() == Built(installed=False)
        assert builder.build() == UpToDate()
        copy = builder.folder / "foxtailseam" / "front" / "__init__.py"
        assert copy.read_text() == source.read_text()

    @pytest.mark.parametrize("text", ["needed==1\n", "# why\n\nneeded==1\n"])
    def test_a_requirements_file_that_names_the_same_is_not_installed_again(
        self, builder, installer, text
    ):
        path = builder.root / "requirements.txt"
        path.write_text(text)
        os.utime(path, (2e9, 2e9))
        assert builder.build() == UpToDate()
        assert installer.calls == 1

    def test_changed_requirements_are_installed(self, builder, installer):
        (builder.root / "requirements.txt").write_text("needed==2\n")
        installer.text = "VALUE = 2\n"
        assert builder.build() == Built(installed=True)
        assert "2" in (builder.folder / "needed" / "part.py").read_text()

    def test_without_a_network_the_usable_packages_stay_until_there_is_one(
        self, builder, installer
    ):
        (builder.root / "requirements.txt").write_text("needed==2\n")
        installer.has_network = False
        assert builder.build() == Kept("no network")
        assert builder.build() == Kept("no network")
        installer.has_network = True
        assert builder.build() == Built(installed=True)

    def test_code_that_the_kept_packages_do_not_suit_replaces_nothing(
        self, builder, installer
    ):
        before = snapshot(builder.folder)
        installer.has_network = False
        (builder.root / "requirements.txt").write_text("needed==2\n")
        source = builder.root / "foxtailseam" / "front" / "__init__.py"
        source.write_text("import needed.only_in_2\n")
        outcome = builder.build()
        assert isinstance(outcome, Failed)
        assert "no network" in outcome.problem
        assert "only_in_2" in outcome.problem
        assert snapshot(builder.folder) == before


class TestDamagedInstallation:
    @pytest.fixture(autouse=True)
    def built(self, builder):
        builder.build()

    @pytest.mark.parametrize(
        "name", ["needed/part.py", "needed/extra.py", "foxtailseam/front/__init__.py"]
    )
    @pytest.mark.parametrize("is_cut", [False, True])
    def test_a_missing_or_incomplete_file_is_mended(self, builder, name, is_cut):
        path = builder.folder / name
        text = path.read_text()
        if is_cut:
            path.write_text(text[:3])
        else:
            path.unlink()
        assert builder.build() == Built(installed=True)
        assert path.read_text() == text

    def test_a_missing_package_without_a_network_fails(self, builder, installer):
        shutil.rmtree(builder.folder / "needed")
        installer.has_network = False
        outcome = builder.build()
        assert isinstance(outcome, Failed)
        assert "needed" in outcome.problem

    @pytest.mark.parametrize(
        "other", ["cpython-39-x86_64-linux-gnu x86_64", "cpython-311 riscv64"]
    )
    def test_packages_of_another_interpreter_or_machine_are_replaced(
        self, builder, installer, other
    ):
        change_manifest(builder, interpreter=other)
        assert builder.build() == Built(installed=True)
        assert installer.calls == 2

    @pytest.mark.parametrize("content", [b"", b"\xff", b"[]", b'{"files": 1}'])
    def test_an_unreadable_manifest_is_a_missing_one(self, builder, content):
        (builder.folder / "installation.json").write_bytes(content)
        assert builder.build() == Built(installed=True)

    def test_usable_packages_without_a_manifest_stay_without_a_network(
        self, builder, installer
    ):
        (builder.folder / "installation.json").unlink()
        installer.has_network = False
        assert builder.build() == Kept("no network")


class TestInterruptedBuild:
    def test_an_installation_broken_off_is_neither_used_nor_in_the_way(
        self, builder, installer
    ):
        def break_off(folder):
            raise KeyboardInterrupt

        builder.build()
        before = snapshot(builder.folder)
        (builder.root / "requirements.txt").write_text("needed==2\n")
        installer.on_installed = break_off
        with pytest.raises(KeyboardInterrupt):
            builder.build()
        assert snapshot(builder.folder) == before
        installer.on_installed = lambda folder: None
        assert builder.build() == Built(installed=True)

    def test_the_old_one_is_back_if_the_new_one_was_not_in_its_place_yet(
        self, builder, installer
    ):
        builder.build()
        os.rename(builder.folder, builder.folder.with_name("deps.old"))
        builder.folder.with_name("deps.new").mkdir()
        assert builder.build() == UpToDate()
        assert sorted(os.listdir(builder.folder.parent)) == ["build.lock", "deps"]
        assert installer.calls == 1

    def test_two_builds_at_once_install_once(self, builder, installer):
        entered = threading.Event()
        leave = threading.Event()

        def wait(folder):
            entered.set()
            leave.wait(10)

        installer.on_installed = wait
        outcomes = []
        threads = [
            threading.Thread(target=lambda: outcomes.append(builder.build()))
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        assert entered.wait(10)
        leave.set()
        for thread in threads:
            thread.join(20)
        assert outcomes == [Built(installed=True), UpToDate()]
        assert installer.calls == 1


class TestProjectPackages:
    @pytest.mark.parametrize("name", ["msgspec", "grpclib"])
    def test_the_packages_that_the_requirements_name_are_needed_and_enough(
        self, tmp_path, name
    ):
        """Uses the packages of the running environment in place of pip."""

        def install(requirements, folder):
            names = [line.split("==")[0] for line in requirements.read_text().split()]
            while names:
                package = importlib.metadata.distribution(names.pop())
                names += [
                    requirement.split("<")[0].split(">")[0].split("!")[0]
                    for requirement in package.requires or ()
                    if ";" not in requirement
                ]
                for file in package.files:
                    if ".." not in file.parts and not (folder / file).exists():
                        (folder / file).parent.mkdir(parents=True, exist_ok=True)
                        shutil.copyfile(file.locate(), folder / file)

        lines = (ROOT / "requirements.txt").read_text().splitlines()
        named = [line for line in lines if not line.startswith("#")]
        (tmp_path / "requirements.txt").write_text("\n".join(named))
        (tmp_path / "foxtailseam").symlink_to(ROOT / "foxtailseam")
        builder = TargetBuilder(tmp_path, install)
        assert builder.build() == Built(installed=True)
        assert builder.build() == UpToDate()
        shutil.rmtree(builder.folder / name)

        def fail(requirements, folder):
            raise InstallError("no network")

        outcome = TargetBuilder(tmp_path, fail).build()
        assert isinstance(outcome, Failed)
        assert name in outcome.problem
