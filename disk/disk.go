package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// defaultSegmentBytes is the size from which on a segment is followed by a new one.
const defaultSegmentBytes = 16 << 20

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// ErrInUse is returned by Open if another process has locked the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

// ErrFull is wrapped by the error of a change that was not made because the disk has no room. The folder is as it was before, so the change may be repeated.
var ErrFull = errors.New("the disk is full")

// changeError describes a failed creation or write, and wraps ErrFull if the disk had no room for it. It must not be used for a failed sync, after which the content of the file is unknown.
func changeError(what, path string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%s %s: %w: %w", what, path, ErrFull, err)
	}
	return fmt.Errorf("%s %s: %w", what, path, err)
}

// Operations are the modifying file operations of a disk, replaceable so that tests can make each of them fail.
type Operations struct {
	Write  func(f *os.File, b []byte, offset int64) error
	Sync   func(f *os.File) error // f may be a folder
	Rename func(from, to string) error
	Remove func(path string) error
}

// System returns the operating system's operations.
func System() Operations {
	return Operations{
		Write: func(f *os.File, b []byte, offset int64) error {
			_, err := f.WriteAt(b, offset)
			return err
		},
		Sync:   (*os.File).Sync,
		Rename: os.Rename,
		Remove: os.Remove,
	}
}

// Options configures a Disk.
type Options struct {
	Dir          string
	SegmentBytes int64      // 0 for the default
	Operations   Operations // the zero value for the operating system's
}

// Loaded is the content of a data folder when it was opened.
type Loaded struct {
	State     *wire.HardState
	Snapshot  *wire.Snapshot // nil if there is none
	Entries   []*wire.Entry  // after the snapshot
	TornWrite *TornWrite     // nil if the log ended with a complete frame
}

// TornWrite describes an incomplete, unsynced write at the end of a segment, which was cut off on opening.
type TornWrite struct {
	File   string
	Offset int64
	Bytes  int64
}

// Disk is one replica's data folder. One goroutine may append while another writes snapshots.
type Disk struct {
	Operations
	dir          string
	segmentBytes int64
	lock         *os.File
	segments     []*segment // oldest first; frames are appended to the last one
	file         *os.File   // of the last segment
	state        *wire.HardState
	snapshot     uint64 // index of the newest snapshot
	err          error  // first failure, after which every change fails
}

// segment is one file of the log.
type segment struct {
	number uint64
	path   string
	size   int64
	last   uint64 // highest index of its entries
	sealed bool   // ends with a seal, which records that another segment follows
}

// Open loads the data folder or initializes it if it is empty. A new folder gets an identity and is marked as recovering.
func Open(o Options) (*Disk, *Loaded, error) {
	d := &Disk{Operations: o.Operations, dir: o.Dir, segmentBytes: o.SegmentBytes}
	if d.Write == nil {
		d.Operations = System()
	}
	if d.segmentBytes == 0 {
		d.segmentBytes = defaultSegmentBytes
	}
	if err := d.acquire(); err != nil {
		return nil, nil, err
	}
	loaded, err := d.load()
	if err != nil {
		return nil, nil, errors.Join(err, d.Close())
	}
	return d, loaded, nil
}

// acquire creates the folder if it is missing and locks it against other processes.
func (d *Disk) acquire() error {
	if err := os.MkdirAll(d.dir, folderMode); err != nil {
		return changeError("create", d.dir, err)
	}
	path := filepath.Join(d.dir, lockName)
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return changeError("open", path, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fmt.Errorf("%s: %w", d.dir, ErrInUse)
	}
	d.lock = lock
	return nil
}

// Append makes a hard state and entries durable with one sync; either may be absent.
// After an error that does not wrap ErrFull nothing further becomes durable, and every later call fails.
func (d *Disk) Append(state *wire.HardState, entries []*wire.Entry) error {
	return d.apply(func() error {
		if err := d.append(&wire.LogGroup{State: state, Entries: entries}); err != nil {
			return err
		}
		if state != nil {
			d.state = state
		}
		if d.current().size < d.segmentBytes {
			return nil
		}
		err := d.roll(&wire.LogGroup{State: d.state})
		if errors.Is(err, ErrFull) {
			return nil // the present segment goes on growing until a new one has room
		}
		return err
	})
}

// apply runs one change of the folder unless an earlier one failed. A failed sync must not be retried: the data may be lost although the second sync succeeds.
func (d *Disk) apply(change func() error) error {
	if d.err != nil {
		return d.err
	}
	err := change()
	if err != nil && !errors.Is(err, ErrFull) {
		d.err = fmt.Errorf("disk failed: %w", err)
		return d.err
	}
	return err
}

func (d *Disk) current() *segment {
	return d.segments[len(d.segments)-1]
}

// append writes one group as a frame at the end of the current segment and syncs it.
func (d *Disk) append(group *wire.LogGroup) error {
	return d.appendTo(d.file, d.current(), group)
}

func (d *Disk) appendTo(file *os.File, s *segment, group *wire.LogGroup) error {
	payload, err := proto.Marshal(group)
	if err != nil {
		return fmt.Errorf("log group: %w", err)
	}
	b := encodeFrame(payload)
	if err := d.Write(file, b, s.size); err != nil {
		return d.undoWrite(file, s, changeError("write", s.path, err))
	}
	if err := d.Sync(file); err != nil {
		return fmt.Errorf("sync %s: %w", s.path, err)
	}
	s.size += int64(len(b))
	for _, e := range group.GetEntries() {
		s.last = max(s.last, e.GetIndex())
	}
	return nil
}

// undoWrite removes what a write that found no room may have left after the end of a segment, and returns the cause.
func (d *Disk) undoWrite(file *os.File, s *segment, cause error) error {
	if !errors.Is(cause, ErrFull) {
		return cause
	}
	if err := file.Truncate(s.size); err != nil {
		return fmt.Errorf("truncate %s: %w", s.path, err)
	}
	return cause
}

// roll starts a new segment with the given group and then seals the previous segment, so that the loss of the new file is detected on loading.
// If the disk has no room for both, the previous segment remains the current one.
func (d *Disk) roll(first *wire.LogGroup) error {
	previousFile, previous := d.file, d.segments
	number := uint64(1)
	if len(previous) > 0 {
		number = d.current().number + 1
		first.PreviousBytes = d.current().size
	}
	path := filepath.Join(d.dir, segmentName(number))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return changeError("create", path, err)
	}
	d.file, d.segments = file, append(slices.Clone(previous), &segment{number: number, path: path})
	err = d.startSegment(first, previousFile)
	if errors.Is(err, ErrFull) {
		d.file, d.segments = previousFile, previous
		return d.removeSegment(file, path, err)
	}
	if previousFile != nil {
		previousFile.Close()
	}
	return err
}

// startSegment writes the first group of a new segment and seals the one before it, if there is one.
func (d *Disk) startSegment(first *wire.LogGroup, previous *os.File) error {
	if err := d.append(first); err != nil {
		return err
	}
	if err := d.syncDir(); err != nil || previous == nil {
		return err
	}
	return d.seal(previous, d.segments[len(d.segments)-2])
}

// removeSegment removes a new segment for which there was no room, and returns the cause. The removal is durable before the previous segment grows again, since the new one would otherwise hide what follows.
func (d *Disk) removeSegment(file *os.File, path string, cause error) error {
	file.Close()
	if err := d.Remove(path); err != nil {
		return fmt.Errorf("remove %s: %w", path, err)
	}
	if err := d.syncDir(); err != nil {
		return err
	}
	return cause
}

// seal records at the end of a segment that another one follows.
func (d *Disk) seal(file *os.File, s *segment) error {
	if err := d.appendTo(file, s, &wire.LogGroup{Sealed: true}); err != nil {
		return err
	}
	s.sealed = true
	return nil
}

func (d *Disk) syncDir() error {
	dir, err := os.Open(d.dir)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	defer dir.Close()
	if err := d.Sync(dir); err != nil {
		return fmt.Errorf("sync %s: %w", d.dir, err)
	}
	return nil
}

// Err returns the first failure, after which the disk accepts no more changes, or nil.
func (d *Disk) Err() error {
	return d.err
}

// Close closes the files and releases the lock on the folder; everything appended is durable already.
func (d *Disk) Close() error {
	if d.file != nil {
		d.file.Close()
	}
	return d.lock.Close()
}

// newIdentity returns a random number above 0 that distinguishes this data folder from any other.
func newIdentity() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}
