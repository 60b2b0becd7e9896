package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// WriteSnapshot atomically makes a snapshot durable in a file of its own; it does not change the log.
func (d *Disk) WriteSnapshot(s *wire.Snapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	path := filepath.Join(d.dir, snapshotName(s.GetIndex()))
	if err := d.writeTemporary(path+temporarySuffix, encodeFrame(payload)); err != nil {
		return err
	}
	if err := d.Rename(path+temporarySuffix, path); err != nil {
		return fmt.Errorf("rename %s: %w", path, err)
	}
	return d.syncDir()
}

func (d *Disk) writeTemporary(path string, b []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return changeError("create", path, err)
	}
	defer file.Close()
	if err := d.Write(file, b, 0); err != nil {
		err = changeError("write", path, err)
		if errors.Is(err, ErrFull) {
			return errors.Join(err, d.Remove(path))
		}
		return err
	}
	if err := d.Sync(file); err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	return nil
}

// ReadSnapshot returns the newest snapshot, for a follower that lags behind the start of the log.
func (d *Disk) ReadSnapshot() (*wire.Snapshot, error) {
	return readSnapshot(filepath.Join(d.dir, snapshotName(d.snapshot)))
}

func readSnapshot(path string) (*wire.Snapshot, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	payload, size, ok := decodeFrame(b)
	if !ok || size != len(b) {
		return nil, &CorruptError{File: path, Offset: 0}
	}
	s := &wire.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, &CorruptError{File: path, Offset: headerBytes}
	}
	return s, nil
}

// InstallSnapshot makes a leader's snapshot durable and restarts the log after it.
func (d *Disk) InstallSnapshot(state *wire.HardState, s *wire.Snapshot) error {
	return d.apply(func() error {
		if state == nil {
			state = d.state
		}
		if err := d.WriteSnapshot(s); err != nil {
			return err
		}
		first := &wire.LogGroup{State: state, ResetIndex: s.GetIndex(), ResetTerm: s.GetTerm()}
		if err := d.roll(first); err != nil {
			return err
		}
		d.state = state
		d.snapshot = s.GetIndex()
		return d.prune(d.current().number, s.GetIndex())
	})
}

// Compact removes the snapshots older than the given one, which must have been written, and the segments that have no entry after keepFrom or the snapshot, whichever is lower.
func (d *Disk) Compact(snapshot, keepFrom uint64) error {
	return d.apply(func() error {
		if snapshot <= d.snapshot {
			return nil
		}
		d.snapshot = snapshot
		return d.prune(d.firstNeeded(min(snapshot, keepFrom)), snapshot)
	})
}

// firstNeeded returns the number of the first segment that may hold an entry after index.
func (d *Disk) firstNeeded(index uint64) uint64 {
	for _, s := range d.segments {
		if s.last > index {
			return s.number
		}
	}
	return d.current().number
}

// prune removes the segments before a number, oldest first, and the snapshots before an index.
// Each removal is durable before that of the next segment, since a power loss could otherwise undo any of them and leave a gap.
func (d *Disk) prune(segment, snapshot uint64) error {
	for removed := 0; d.segments[0].number < segment; removed++ {
		if removed > 0 {
			if err := d.syncDir(); err != nil {
				return err
			}
		}
		if err := d.Remove(d.segments[0].path); err != nil {
			return fmt.Errorf("remove %s: %w", d.segments[0].path, err)
		}
		d.segments = d.segments[1:]
	}
	names, err := d.listFiles()
	if err != nil {
		return err
	}
	for _, index := range names.snapshots {
		if index >= snapshot {
			continue
		}
		if err := d.Remove(filepath.Join(d.dir, snapshotName(index))); err != nil {
			return fmt.Errorf("remove snapshot: %w", err)
		}
	}
	return d.syncDir()
}
