package installation

import (
	"fmt"
	"os"
	"time"

	"daisyswitch/event"
	"daisyswitch/group"
)

// pollInterval is how often a settings file is checked for changes, so that no signal is needed.
const pollInterval = time.Second

// fileWatcher polls a settings file and reloads it when its content changes.
type fileWatcher struct {
	stop  chan struct{}
	tasks group.Group
}

func watchFile(path string, changed func([]byte) error) *fileWatcher {
	w := &fileWatcher{stop: make(chan struct{})}
	last, err := os.ReadFile(path)
	if err != nil {
		event.SettingsNotReloaded.Error(err, "file", path)
	}
	w.tasks.Go(func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				last = reloadIfChanged(path, last, changed)
			}
		}
	})
	return w
}

// reloadIfChanged passes the file's content to changed if it differs from last, and returns the latest content.
func reloadIfChanged(path string, last []byte, changed func([]byte) error) []byte {
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

func (w *fileWatcher) close() {
	close(w.stop)
	w.tasks.Wait()
}
