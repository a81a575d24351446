"""Detection of changes of a settings file."""

from pathlib import Path

from lentilfork.files import FileWatcher


def test_change_is_reported_once_and_a_missing_file_is_ignored(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    path.write_text("one")
    contents: list[str] = []
    watcher = FileWatcher(path, lambda: contents.append(path.read_text()))
    watcher.reload()
    path.write_text("two")
    watcher.reload()
    watcher.reload()
    path.unlink()
    watcher.reload()
    assert contents == ["two"]
