"""Disks that lose at random what was not synced, at any operation of any of them."""

import shutil
from pathlib import Path

from almonddeal.control.tests.faulty_disk import Disk, Disks


class LossyDisk(Disk):
    """Disk whose contents after a loss of power can be drawn at any operation."""

    def __init__(self, folder, on_operation):
        super().__init__(folder)
        self._on_operation = on_operation

    def check(self, kind, n_bytes=0):
        self._on_operation()
        return super().check(kind, n_bytes)

    def draw_contents(self, generator):
        """Return what a loss of power now leaves, as a dict of names to contents.

        Names that changed since the last sync of the folder and writes since the last
        sync of a file are kept or lost, each on its own; the last write may be torn.
        """
        if not self.folder.exists():
            return {}
        inode_by_name = {path.name: path.stat().st_ino for path in self._files()}
        content_by_name = {}
        is_all_lost = generator.random() < 0.25
        for name in sorted({*self._inode_by_name, *inode_by_name}):
            durable, current = self._inode_by_name.get(name), inode_by_name.get(name)
            inode = durable if is_all_lost else generator.choice((durable, current))
            if inode is None:
                continue
            synced = self._synced_by_inode.get(inode, b"")
            written = synced
            if inode == current and not is_all_lost:
                written = (self.folder / name).read_bytes()
            content_by_name[name] = _draw_content(generator, synced, written)
        return content_by_name

    def _files(self):
        return [path for path in self.folder.iterdir() if path.is_file()]

    def replace_contents(self, content_by_name):
        """Make these the files, all durable; no process may have the folder open."""
        self.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        if not content_by_name:
            return
        self.folder.mkdir()
        for name, content in content_by_name.items():
            (self.folder / name).write_bytes(content)
            with (self.folder / name).open("rb") as file:
                self.record_sync(file.fileno())
        self.record_folder_sync()


def _draw_content(generator, synced, written):
    if synced == written:
        return synced
    kind = generator.choice(("lost", "kept", "torn"))
    if kind == "torn" and written.startswith(synced):
        return written[: generator.randrange(len(synced), len(written))]
    return written if kind == "kept" else synced


class LossyDisks(Disks):
    """Disks of a group that lose power together.

    Attributes
    ----------
    n_operations_to_loss : int or None
        Operations of any disk until `on_loss` is called once.
    on_loss : callable
    """

    def __init__(self):
        super().__init__()
        self.n_operations_to_loss = None
        self.on_loss = None

    def disk(self, folder):
        """Return the disk of a data folder."""
        folder = Path(folder).resolve()
        if folder not in self.disk_by_folder:
            self.disk_by_folder[folder] = LossyDisk(folder, self._count_operation)
        return self.disk_by_folder[folder]

    def _count_operation(self):
        if self.n_operations_to_loss is None:
            return
        self.n_operations_to_loss -= 1
        if self.n_operations_to_loss <= 0:
            self.n_operations_to_loss = None
            self.on_loss()
