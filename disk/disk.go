package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
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
		return fmt.Errorf("data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(d.dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fmt.Errorf("%s: %w", d.dir, ErrInUse)
	}
	d.lock = lock
	return nil
}

// Append makes a hard state and entries durable with one sync; either may be absent.
// After an error nothing further becomes durable, and every later call fails.
func (d *Disk) Append(state *wire.HardState, entries []*wire.Entry) error {
	return d.apply(func() error {
		if state != nil {
			d.state = state
		}
		if err := d.append(&wire.LogGroup{State: state, Entries: entries}); err != nil {
			return err
		}
		if d.current().size < d.segmentBytes {
			return nil
		}
		return d.roll(&wire.LogGroup{State: d.state})
	})
}

// apply runs one change of the folder unless an earlier one failed. A failed sync must not be retried: the data may be lost although the second sync succeeds.
func (d *Disk) apply(change func() error) error {
	if d.err != nil {
		return d.err
	}
	if err := change(); err != nil {
		d.err = fmt.Errorf("disk failed: %w", err)
	}
	return d.err
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
		return fmt.Errorf("write %s: %w", s.path, err)
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

// roll starts a new segment with the given group and then seals the previous segment, so that the loss of the new file is detected on loading.
func (d *Disk) roll(first *wire.LogGroup) error {
	before := d.file
	if before != nil {
		defer before.Close()
	}
	number := uint64(1)
	if len(d.segments) > 0 {
		number = d.current().number + 1
		first.PreviousBytes = d.current().size
	}
	path := filepath.Join(d.dir, segmentName(number))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("new segment: %w", err)
	}
	d.file = file
	d.segments = append(d.segments, &segment{number: number, path: path})
	if err := d.append(first); err != nil {
		return err
	}
	if err := d.syncDir(); err != nil || before == nil {
		return err
	}
	return d.seal(before, d.segments[len(d.segments)-2])
}

// seal records at the end of a segment that another one follows.
func (d *Disk) seal(file *os.File, s *segment) error {
	s.sealed = true
	return d.appendTo(file, s, &wire.LogGroup{Sealed: true})
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
