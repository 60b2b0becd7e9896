package installation

import (
	"fmt"
	"os"
	"time"

	"daisyswitch/event"
	"daisyswitch/group"
)

// watchEvery is how often a settings file is looked at; a change need not be signalled.
const watchEvery = time.Second

// fileWatch reads a settings file again when it has changed.
type fileWatch struct {
	stop  chan struct{}
	tasks group.Group
}

func watchFile(path string, changed func([]byte) error) *fileWatch {
	w := &fileWatch{stop: make(chan struct{})}
	last, err := os.ReadFile(path)
	if err != nil {
		event.SettingsNotReloaded.Error(err, "file", path)
	}
	w.tasks.Go(func() {
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				last = reread(path, last, changed)
			}
		}
	})
	return w
}

// reread returns what the file holds and tells of it if it is new.
func reread(path string, last []byte, changed func([]byte) error) []byte {
	source, err := os.ReadFile(path)
	if err != nil || string(source) == string(last) {
		return last
	}
	if err := changed(source); err != nil {
		event.SettingsNotReloaded.Error(fmt.Errorf("settings: %w", err), "file", path)
		return source
	}
	event.SettingsReloaded.Info("file", path)
	return source
}

func (w *fileWatch) close() {
	close(w.stop)
	w.tasks.Wait()
}
