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

// Corrupt names the place of damage that no crash of ours leaves behind; the replica must not start on it.
type Corrupt struct {
	File   string
	Offset int64
}

// Error names the file and the offset.
func (c *Corrupt) Error() string {
	return fmt.Sprintf("corrupt: %s at offset %d", c.File, c.Offset)
}

func segmentName(number uint64) string { return fmt.Sprintf("segment-%016x.log", number) }
func snapshotName(index uint64) string { return fmt.Sprintf("snapshot-%016x.bin", index) }

// names is what a data folder holds, each in ascending order.
type names struct {
	segments, snapshots []uint64
	temporary           []string
}

func (d *Disk) list() (*names, error) {
	files, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	found := &names{}
	for _, f := range files {
		var number uint64
		switch {
		case strings.HasSuffix(f.Name(), temporarySuffix):
			found.temporary = append(found.temporary, f.Name())
		case scan(f.Name(), "segment-%016x.log", &number):
			found.segments = append(found.segments, number)
		case scan(f.Name(), "snapshot-%016x.bin", &number):
			found.snapshots = append(found.snapshots, number)
		}
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found, nil
}

func scan(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && name == fmt.Sprintf(format, *number)
}

// load reads the newest snapshot and the log after it.
func (d *Disk) load() (*Loaded, error) {
	found, err := d.list()
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
			return nil, &Corrupt{File: filepath.Join(d.dir, segmentName(number-1)), Offset: 0}
		}
		if err := l.readSegment(number, len(found.segments)-1-i); err != nil {
			return nil, err
		}
	}
	if len(l.segments) > 0 && l.current().sealed {
		return nil, &Corrupt{File: filepath.Join(d.dir, segmentName(l.current().number+1)), Offset: 0}
	}
	return l.finish()
}

// loader gathers what the files of a folder say.
type loader struct {
	*Disk
	snapshot *wire.Snapshot
	log      []*wire.Entry // contiguous
	before   uint64        // index before the first of log
	tail     []byte        // last valid frame of the last segment
	torn     *Torn
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

// readSegment reads a segment that the given count of others follow.
func (l *loader) readSegment(number uint64, following int) error {
	s := &segment{number: number, path: filepath.Join(l.dir, segmentName(number))}
	b, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	l.segments = append(l.segments, s)
	l.tail = nil
	for offset := 0; offset < len(b); {
		payload, size, ok := unframe(b[offset:])
		if !ok {
			return l.endSegment(s, b, offset, following)
		}
		if !l.take(s, payload) {
			return &Corrupt{File: s.path, Offset: int64(offset)}
		}
		l.tail = b[offset : offset+size]
		offset += size
		s.size = int64(offset)
	}
	return nil
}

// endSegment accepts an invalid frame only as the torn end of the last segment, or as the torn seal of the one before it.
func (l *loader) endSegment(s *segment, b []byte, offset, following int) error {
	if following > 1 || s.sealed || !torn(b[offset:], offset) {
		return &Corrupt{File: s.path, Offset: int64(offset)}
	}
	l.torn = &Torn{File: s.path, Offset: int64(offset), Bytes: int64(len(b) - offset)}
	return nil
}

// take reads one group and says whether it makes sense after those before it.
func (l *loader) take(s *segment, payload []byte) bool {
	group := &wire.LogGroup{}
	if proto.Unmarshal(payload, group) != nil {
		return false
	}
	s.sealed = group.GetSealed()
	if before := l.precursor(s); before != nil && s.size == 0 && before.size < group.GetPreviousBytes() {
		return false
	}
	if group.GetState() != nil {
		l.state = group.GetState()
	}
	if group.GetResetIndex() > 0 {
		l.log, l.before = nil, group.GetResetIndex()
	}
	for _, e := range group.GetEntries() {
		if !l.place(e) {
			return false
		}
		s.last = max(s.last, e.GetIndex())
	}
	return true
}

// precursor returns the segment read before s, nil if s is the first one left.
func (l *loader) precursor(s *segment) *segment {
	if l.segments[0] == s {
		return nil
	}
	return l.segments[len(l.segments)-2]
}

// place puts an entry where its index says, in place of all from there on.
func (l *loader) place(e *wire.Entry) bool {
	if len(l.log) == 0 && l.before == 0 {
		l.before = e.GetIndex() - 1
	}
	if e.GetIndex() <= l.before {
		// What it replaces from here on was partly in segments that are removed already.
		l.log, l.before = nil, e.GetIndex()-1
	}
	at := e.GetIndex() - l.before - 1
	if at > uint64(len(l.log)) {
		return false
	}
	l.log = append(l.log[:at], e)
	return true
}

// finish joins log and snapshot and makes the end of the log writable.
func (l *loader) finish() (*Loaded, error) {
	entries, joined, err := l.afterSnapshot()
	if err != nil {
		return nil, err
	}
	if l.state == nil {
		return l.begin()
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
	return &Loaded{State: l.state, Snapshot: l.snapshot, Entries: entries, Torn: l.torn}, nil
}

// afterSnapshot returns the entries that go on from the snapshot; joined is false if a leader's snapshot was installed over a log that does not lead up to it.
func (l *loader) afterSnapshot() (entries []*wire.Entry, joined bool, err error) {
	index, term := l.snapshot.GetIndex(), l.snapshot.GetTerm()
	if l.before == index {
		return l.log, true, nil
	}
	if l.before > index {
		return nil, false, &Corrupt{File: l.segments[0].path, Offset: 0}
	}
	at := index - l.before - 1
	if at >= uint64(len(l.log)) || l.log[at].GetTerm() != term {
		return nil, false, nil
	}
	return l.log[at+1:], true, nil
}

// begin gives an empty folder its identity.
func (l *loader) begin() (*Loaded, error) {
	if l.snapshot != nil || len(l.segments) > 1 {
		return nil, &Corrupt{File: l.dir, Offset: 0}
	}
	for _, s := range l.segments {
		if err := l.Remove(s.path); err != nil {
			return nil, fmt.Errorf("remove %s: %w", s.path, err)
		}
	}
	l.segments = nil
	l.state = &wire.HardState{Disk: identity(), Recovering: true}
	if err := l.roll(&wire.LogGroup{State: l.state}); err != nil {
		return nil, err
	}
	return &Loaded{State: l.state}, nil
}

// reopen cuts off a torn end and writes the last frame once more, since after a failed sync it may be in memory only.
func (l *loader) reopen() error {
	s := l.current()
	file, err := l.cut(s)
	if err != nil {
		return err
	}
	l.file = file
	before := l.precursor(s)
	if s.size == 0 {
		// Every segment begins with the hard state, so that older ones can be removed.
		first := &wire.LogGroup{State: l.state}
		if before != nil {
			first.PreviousBytes = before.size
		}
		err = l.append(first)
	} else {
		err = l.rewrite(file, s)
	}
	if err != nil {
		return err
	}
	if err := l.syncDir(); err != nil || before == nil || before.sealed {
		return err
	}
	return l.reseal(before)
}

// cut opens a segment and removes what lies after its last valid frame.
func (l *loader) cut(s *segment) (*os.File, error) {
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

func (l *loader) rewrite(file *os.File, s *segment) error {
	if err := l.Write(file, l.tail, s.size-int64(len(l.tail))); err != nil {
		return fmt.Errorf("write %s: %w", s.path, err)
	}
	if err := l.Sync(file); err != nil {
		return fmt.Errorf("sync %s: %w", s.path, err)
	}
	return nil
}

// reseal makes up for the seal that a crash kept from being written.
func (l *loader) reseal(s *segment) error {
	file, err := l.cut(s)
	if err != nil {
		return err
	}
	defer file.Close()
	return l.seal(file, s)
}
