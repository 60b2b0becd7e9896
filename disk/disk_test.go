package disk_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"daisyswitch/disk"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const segmentBytes = 400

func open(t *testing.T, dir string) (*disk.Disk, *disk.Loaded) {
	t.Helper()
	d, loaded, err := disk.Open(disk.Options{Dir: dir, SegmentBytes: segmentBytes})
	assert.NilError(t, err)
	return d, loaded
}

func entries(term uint64, indexes ...uint64) []*wire.Entry {
	var list []*wire.Entry
	for _, index := range indexes {
		list = append(list, &wire.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d of %d", index, term)})
	}
	return list
}

// describe formats the snapshot's index in brackets, followed by index:term of each entry.
func describe(l *disk.Loaded) string {
	text := fmt.Sprintf("[%d]", l.Snapshot.GetIndex())
	for _, e := range l.Entries {
		text += fmt.Sprintf(" %d:%d", e.GetIndex(), e.GetTerm())
	}
	return text
}

func TestLaterEntriesReplaceEarlierOnes(t *testing.T) {
	dir := t.TempDir()
	d, first := open(t, dir)
	assert.Assert(t, first.State.GetRecovering() && first.State.GetDisk() != 0)
	assert.NilError(t, d.Append(&wire.HardState{Term: 1, Disk: first.State.GetDisk()}, entries(1, 1, 2, 3)))
	assert.NilError(t, d.Append(nil, entries(2, 2)))
	_, _, err := disk.Open(disk.Options{Dir: dir})
	assert.Assert(t, errors.Is(err, disk.ErrInUse))
	assert.NilError(t, d.Close())
	d, loaded := open(t, dir)
	defer d.Close()
	assert.Equal(t, describe(loaded), "[0] 1:1 2:2")
	assert.Equal(t, loaded.State.GetTerm(), uint64(1))
	assert.Equal(t, loaded.State.GetDisk(), first.State.GetDisk())
}

// lastSegment returns the path and the content of the newest segment.
func lastSegment(t *testing.T, dir string) (string, []byte) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "segment-*"))
	assert.NilError(t, err)
	path := paths[len(paths)-1]
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	return path, b
}

// twoGroups returns a folder with entries 1 and 2, and the offset of the group of entry 2 in the last segment.
func twoGroups(t *testing.T) (dir string, start int) {
	dir = t.TempDir()
	d, _ := open(t, dir)
	assert.NilError(t, d.Append(nil, entries(1, 1)))
	_, b := lastSegment(t, dir)
	assert.NilError(t, d.Append(nil, entries(1, 2)))
	assert.NilError(t, d.Close())
	return dir, len(b)
}

func TestTailTornAtEveryByteIsCutOff(t *testing.T) {
	dir, start := twoGroups(t)
	path, whole := lastSegment(t, dir)
	for end := start; end < len(whole); end++ {
		assert.NilError(t, os.WriteFile(path, whole[:end], 0o600))
		d, loaded := open(t, dir)
		assert.Equal(t, describe(loaded), "[0] 1:1", "cut at %d", end)
		assert.Equal(t, loaded.TornWrite != nil, end > start)
		assert.NilError(t, d.Append(nil, entries(2, 2)))
		assert.NilError(t, d.Close())
		d, loaded = open(t, dir)
		assert.Equal(t, describe(loaded), "[0] 1:1 2:2")
		assert.NilError(t, d.Close())
	}
}

func TestEveryFlippedByteIsRefused(t *testing.T) {
	dir, start := twoGroups(t)
	path, whole := lastSegment(t, dir)
	for at := range whole {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0x40
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, _, err := disk.Open(disk.Options{Dir: dir})
		var corrupt *disk.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "byte %d: %v", at, err)
		assert.Equal(t, corrupt.File, path)
		assert.Equal(t, corrupt.Offset >= int64(start), at >= start)
	}
}

func TestMissingFilesAreRefused(t *testing.T) {
	dir := t.TempDir()
	d, _ := open(t, dir)
	for index := uint64(1); index <= 90; index++ {
		assert.NilError(t, d.Append(nil, entries(1, index)))
	}
	assert.NilError(t, d.WriteSnapshot(&wire.Snapshot{Index: 40, Term: 1}))
	assert.NilError(t, d.Compact(40, 40))
	assert.NilError(t, d.Close())
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 5)
	for _, file := range files[1:] { // the first is the lock file
		path := filepath.Join(dir, file.Name())
		assert.NilError(t, os.Rename(path, path+".away"))
		_, _, err := disk.Open(disk.Options{Dir: dir})
		var corrupt *disk.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "without %s: %v", file.Name(), err)
		assert.NilError(t, os.Rename(path+".away", path))
	}
}

func TestLostSectorWithinTheLogIsRefused(t *testing.T) {
	dir := t.TempDir()
	d, _, err := disk.Open(disk.Options{Dir: dir})
	assert.NilError(t, err)
	for index := uint64(1); index <= 2; index++ {
		e := &wire.Entry{Index: index, Term: 1, Data: bytes.Repeat([]byte{1}, 2000)}
		assert.NilError(t, d.Append(nil, []*wire.Entry{e}))
	}
	assert.NilError(t, d.Close())
	path, b := lastSegment(t, dir)
	copy(b[512:1024], make([]byte, 512))
	assert.NilError(t, os.WriteFile(path, b, 0o600))
	_, _, err = disk.Open(disk.Options{Dir: dir})
	var corrupt *disk.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

func TestCutBeforeTheLastSegmentIsRefused(t *testing.T) {
	dir := t.TempDir()
	d, _ := open(t, dir)
	first, before := lastSegment(t, dir)
	index := uint64(0)
	for path := first; path == first; path, _ = lastSegment(t, dir) {
		before, _ = os.ReadFile(first)
		index++
		assert.NilError(t, d.Append(nil, entries(1, index)))
	}
	assert.NilError(t, d.Close())
	assert.NilError(t, os.WriteFile(first, before, 0o600))
	_, _, err := disk.Open(disk.Options{Dir: dir})
	var corrupt *disk.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}
