package disk_test

import (
	"path/filepath"
	"testing"
	"time"

	"daisyswitch/disk"
	"daisyswitch/wire"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	benchRecords = 256 // records per group
	benchBytes   = 200 // size of a record
)

// benchEntries returns count entries, starting at index first.
func benchEntries(first uint64, count int) []*wire.Entry {
	list := make([]*wire.Entry, count)
	for i := range list {
		list[i] = &wire.Entry{Index: first + uint64(i), Term: 1, Data: make([]byte, benchBytes)}
	}
	return list
}

// BenchmarkAppend compares one sync per record with one sync per group of records, for this package's files and for bbolt.
func BenchmarkAppend(b *testing.B) {
	d, _, err := disk.Open(disk.Options{Dir: b.TempDir()})
	assert.NilError(b, err)
	defer d.Close()
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "log"), 0o600, nil)
	assert.NilError(b, err)
	defer db.Close()
	files := func(entries []*wire.Entry) error { return d.Append(nil, entries) }
	bolt := func(entries []*wire.Entry) error { return putAll(db, entries) }
	for b.Loop() {
		single := rate(b, files, 1)
		grouped := rate(b, files, benchRecords)
		b.ReportMetric(single, "files-single/s")
		b.ReportMetric(grouped, "files-grouped/s")
		b.ReportMetric(grouped/single, "ratio")
		b.ReportMetric(rate(b, bolt, 1), "bbolt-single/s")
		b.ReportMetric(rate(b, bolt, benchRecords), "bbolt-grouped/s")
	}
}

// rate returns the records written per second, over 200 groups.
func rate(b *testing.B, write func([]*wire.Entry) error, group int) float64 {
	const groups = 200
	start := time.Now()
	for i := range groups {
		assert.NilError(b, write(benchEntries(uint64(i*group+1), group)))
	}
	return float64(groups*group) / time.Since(start).Seconds()
}

func putAll(db *bbolt.DB, entries []*wire.Entry) error {
	return db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
		if err != nil {
			return err
		}
		for _, e := range entries {
			key := []byte{byte(e.Index >> 24), byte(e.Index >> 16), byte(e.Index >> 8), byte(e.Index)}
			value, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := bucket.Put(key, value); err != nil {
				return err
			}
		}
		return nil
	})
}
