"""A settings file that changes."""

from pathlib import Path

from lentilfork.files import FileWatcher


def test_change_is_seen_once_and_a_missing_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    path.write_text("one")
    seen: list[str] = []
    watch = FileWatcher(path, lambda: seen.append(path.read_text()))
    watch.reload()
    path.write_text("two")
    watch.reload()
    watch.reload()
    path.unlink()
    watch.reload()
    assert seen == ["two"]
