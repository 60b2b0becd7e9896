package fakeupstream

import (
	"encoding/json"
	"net"
	"net/http"

	"daisyswitch/event"

	"github.com/julienschmidt/httprouter"
)

// Mode says how the upstream misbehaves; its zero value is well-behaved.
type Mode struct {
	SlowBy   int  `json:"slow_by,omitempty"` // factor on service times
	Silent   bool `json:"silent,omitempty"`  // requests run and are never answered
	Truncate bool `json:"truncate,omitempty"`
	Repeat   bool `json:"repeat,omitempty"` // each answer is sent twice over its connection, which stays open
}

// SetMode changes how it answers from now on; requests held by silence are answered.
func (u *Upstream) SetMode(m Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *Upstream) currentMode() (Mode, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mode, u.changed
}

// adminStatus is what the admin interface answers.
type adminStatus struct {
	ID                 string `json:"id"`
	Address            string `json:"address"`
	Mode               Mode   `json:"mode"`
	Leaving            bool   `json:"leaving"`
	InProgress         int    `json:"in_progress"`
	RefusedConnections int64  `json:"refused_connections"`
}

func (u *Upstream) listenAdmin() error {
	if u.options.Admin == "" {
		return nil
	}
	listener, err := net.Listen("tcp", u.options.Admin)
	if err != nil {
		return err
	}
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/v1/standin", u.showStatus)
	router.HandlerFunc(http.MethodPut, "/v1/standin/mode", u.putMode)
	router.HandlerFunc(http.MethodPut, "/v1/standin/leave", u.putLeave)
	u.admin = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	u.running.Go(func() { u.serveOn(u.admin, listener) })
	return nil
}

func (u *Upstream) showStatus(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	status := adminStatus{
		ID:                 u.id,
		Address:            u.Address(),
		Mode:               u.mode,
		Leaving:            u.leaving,
		InProgress:         u.progress,
		RefusedConnections: u.RefusedConnections(),
	}
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status) //nolint:errcheck // the asker is gone
}

func (u *Upstream) putMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	event.StandinMode.Info("upstream", u.id, "mode", m)
	u.SetMode(m)
	u.showStatus(w, r)
}

func (u *Upstream) putLeave(w http.ResponseWriter, r *http.Request) {
	u.toldOnce.Do(func() { close(u.told) })
	u.showStatus(w, r)
}
