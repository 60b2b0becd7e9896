package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

const temporarySuffix = ".tmp"

// CorruptError is an error that gives the place of damage which no crash of the process can have caused; the replica must not start on such a folder.
type CorruptError struct {
	File   string
	Offset int64
}

// Error returns a message with the file and the offset.
func (c *CorruptError) Error() string {
	return fmt.Sprintf("corrupt: %s at offset %d", c.File, c.Offset)
}

func segmentName(number uint64) string { return fmt.Sprintf("segment-%016x.log", number) }
func snapshotName(index uint64) string { return fmt.Sprintf("snapshot-%016x.bin", index) }

// folderFiles lists the files of a data folder: segment numbers and snapshot indexes in ascending order, and temporary files.
type folderFiles struct {
	segments, snapshots []uint64
	temporary           []string
}

func (d *Disk) listFiles() (*folderFiles, error) {
	files, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	found := &folderFiles{}
	for _, f := range files {
		var number uint64
		switch {
		case strings.HasSuffix(f.Name(), temporarySuffix):
			found.temporary = append(found.temporary, f.Name())
		case parseName(f.Name(), "segment-%016x.log", &number):
			found.segments = append(found.segments, number)
		case parseName(f.Name(), "snapshot-%016x.bin", &number):
			found.snapshots = append(found.snapshots, number)
		}
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found, nil
}

func parseName(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && name == fmt.Sprintf(format, *number)
}

// load reads the newest snapshot and the log after it.
func (d *Disk) load() (*Loaded, error) {
	found, err := d.listFiles()
	if err != nil {
		return nil, err
	}
	for _, name := range found.temporary {
		if err := d.Remove(filepath.Join(d.dir, name)); err != nil {
			return nil, fmt.Errorf("remove %s: %w", name, err)
		}
	}
	l := &loader{Disk: d}
	if err := l.readSnapshot(found.snapshots); err != nil {
		return nil, err
	}
	for i, number := range found.segments {
		if number != found.segments[0]+uint64(i) {
			return nil, &CorruptError{File: filepath.Join(d.dir, segmentName(number-1)), Offset: 0}
		}
		if err := l.readSegment(number, len(found.segments)-1-i); err != nil {
			return nil, err
		}
	}
	if len(l.segments) > 0 && l.current().sealed {
		return nil, &CorruptError{File: filepath.Join(d.dir, segmentName(l.current().number+1)), Offset: 0}
	}
	return l.finish()
}

// loader holds the state of a folder that is being loaded.
type loader struct {
	*Disk
	snapshot *wire.Snapshot
	log      []*wire.Entry // contiguous indexes
	before   uint64        // index before the first entry of log
	tail     []byte        // last valid frame of the last segment
	torn     *TornWrite
}

func (l *loader) readSnapshot(indexes []uint64) error {
	if len(indexes) == 0 {
		return nil
	}
	newest := indexes[len(indexes)-1]
	s, err := readSnapshot(filepath.Join(l.dir, snapshotName(newest)))
	if err != nil {
		return err
	}
	l.snapshot = s
	l.Disk.snapshot = newest
	return nil
}

// readSegment reads a segment; following is the number of segments after it.
func (l *loader) readSegment(number uint64, following int) error {
	s := &segment{number: number, path: filepath.Join(l.dir, segmentName(number))}
	b, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	l.segments = append(l.segments, s)
	l.tail = nil
	for offset := 0; offset < len(b); {
		payload, size, ok := decodeFrame(b[offset:])
		if !ok {
			return l.endSegment(s, b, offset, following)
		}
		if !l.applyGroup(s, payload) {
			return &CorruptError{File: s.path, Offset: int64(offset)}
		}
		l.tail = b[offset : offset+size]
		offset += size
		s.size = int64(offset)
	}
	return nil
}

// endSegment handles an invalid frame. It accepts only an interrupted write at the end of the last segment, or an interrupted seal at the end of the one before.
func (l *loader) endSegment(s *segment, b []byte, offset, following int) error {
	if following > 1 || s.sealed || !torn(b[offset:], offset) {
		return &CorruptError{File: s.path, Offset: int64(offset)}
	}
	l.torn = &TornWrite{File: s.path, Offset: int64(offset), Bytes: int64(len(b) - offset)}
	return nil
}

// applyGroup applies one group to the loaded state and reports whether the group is consistent with the preceding ones.
func (l *loader) applyGroup(s *segment, payload []byte) bool {
	group := &wire.LogGroup{}
	if proto.Unmarshal(payload, group) != nil {
		return false
	}
	s.sealed = group.GetSealed()
	if before := l.previousSegment(s); before != nil && s.size == 0 && before.size < group.GetPreviousBytes() {
		return false
	}
	if group.GetState() != nil {
		l.state = group.GetState()
	}
	if group.GetResetIndex() > 0 {
		l.log, l.before = nil, group.GetResetIndex()
	}
	for _, e := range group.GetEntries() {
		if !l.insertEntry(e) {
			return false
		}
		s.last = max(s.last, e.GetIndex())
	}
	return true
}

// previousSegment returns the segment read before s, or nil if s is the oldest one that still exists.
func (l *loader) previousSegment(s *segment) *segment {
	if l.segments[0] == s {
		return nil
	}
	return l.segments[len(l.segments)-2]
}

// insertEntry inserts an entry at its index and drops all entries from there on; it returns false if the index leaves a gap.
func (l *loader) insertEntry(e *wire.Entry) bool {
	if len(l.log) == 0 && l.before == 0 {
		l.before = e.GetIndex() - 1
	}
	if e.GetIndex() <= l.before {
		// Some of the entries that it replaces were in segments that have been removed.
		l.log, l.before = nil, e.GetIndex()-1
	}
	at := e.GetIndex() - l.before - 1
	if at > uint64(len(l.log)) {
		return false
	}
	l.log = append(l.log[:at], e)
	return true
}

// finish connects the log to the snapshot and opens the end of the log for writing.
func (l *loader) finish() (*Loaded, error) {
	entries, joined, err := l.afterSnapshot()
	if err != nil {
		return nil, err
	}
	if l.state == nil {
		return l.initialize()
	}
	if err := l.reopen(); err != nil {
		return nil, err
	}
	if !joined {
		reset := &wire.LogGroup{State: l.state, ResetIndex: l.snapshot.GetIndex(), ResetTerm: l.snapshot.GetTerm()}
		if err := l.roll(reset); err != nil {
			return nil, err
		}
	}
	return &Loaded{State: l.state, Snapshot: l.snapshot, Entries: entries, TornWrite: l.torn}, nil
}

// afterSnapshot returns the entries that follow the snapshot; joined is false if the log does not contain the snapshot's last entry, because a leader's snapshot was installed over it.
func (l *loader) afterSnapshot() (entries []*wire.Entry, joined bool, err error) {
	index, term := l.snapshot.GetIndex(), l.snapshot.GetTerm()
	if l.before == index {
		return l.log, true, nil
	}
	if l.before > index {
		return nil, false, &CorruptError{File: l.segments[0].path, Offset: 0}
	}
	at := index - l.before - 1
	if at >= uint64(len(l.log)) || l.log[at].GetTerm() != term {
		return nil, false, nil
	}
	return l.log[at+1:], true, nil
}

// initialize initializes an empty folder with a new identity.
func (l *loader) initialize() (*Loaded, error) {
	if l.snapshot != nil || len(l.segments) > 1 {
		return nil, &CorruptError{File: l.dir, Offset: 0}
	}
	for _, s := range l.segments {
		if err := l.Remove(s.path); err != nil {
			return nil, fmt.Errorf("remove %s: %w", s.path, err)
		}
	}
	l.segments = nil
	l.state = &wire.HardState{Disk: newIdentity(), Recovering: true}
	if err := l.roll(&wire.LogGroup{State: l.state}); err != nil {
		return nil, err
	}
	return &Loaded{State: l.state}, nil
}

// reopen removes an incomplete write at the end of the log and writes the last frame again, since after a failed sync that frame may be in the page cache only.
func (l *loader) reopen() error {
	s := l.current()
	file, err := l.truncateTail(s)
	if err != nil {
		return err
	}
	l.file = file
	before := l.previousSegment(s)
	if s.size == 0 {
		// Every segment begins with the hard state, so that older segments can be removed.
		first := &wire.LogGroup{State: l.state}
		if before != nil {
			first.PreviousBytes = before.size
		}
		err = l.append(first)
	} else {
		err = l.rewriteLastFrame(file, s)
	}
	if err != nil {
		return err
	}
	if err := l.syncDir(); err != nil || before == nil || before.sealed {
		return err
	}
	return l.restoreSeal(before)
}

// truncateTail opens a segment and truncates it after its last valid frame.
func (l *loader) truncateTail(s *segment) (*os.File, error) {
	file, err := os.OpenFile(s.path, os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	if err := file.Truncate(s.size); err != nil {
		file.Close()
		return nil, fmt.Errorf("truncate %s: %w", s.path, err)
	}
	return file, nil
}

func (l *loader) rewriteLastFrame(file *os.File, s *segment) error {
	if err := l.Write(file, l.tail, s.size-int64(len(l.tail))); err != nil {
		return changeError("write", s.path, err)
	}
	if err := l.Sync(file); err != nil {
		return fmt.Errorf("sync %s: %w", s.path, err)
	}
	return nil
}

// restoreSeal writes the seal that was not written because of a crash.
func (l *loader) restoreSeal(s *segment) error {
	file, err := l.truncateTail(s)
	if err != nil {
		return err
	}
	defer file.Close()
	return l.seal(file, s)
}
