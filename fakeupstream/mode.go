package fakeupstream

import (
	"encoding/json"
	"net"
	"net/http"

	"daisyswitch/event"

	"github.com/julienschmidt/httprouter"
)

// Mode selects the faults that the upstream injects; the zero value injects none.
type Mode struct {
	SlowBy   int  `json:"slow_by,omitempty"` // factor on service times
	Silent   bool `json:"silent,omitempty"`  // requests take a slot and stay unanswered until the mode changes
	Truncate bool `json:"truncate,omitempty"`
	Repeat   bool `json:"repeat,omitempty"` // each response is sent twice over its connection, which stays open
}

// SetMode sets the mode for new requests. Requests held by silent mode are answered.
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

// adminStatus is the response body of the admin interface.
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
		InProgress:         u.inProgress,
		RefusedConnections: u.RefusedConnections(),
	}
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status) //nolint:errcheck // fails only if the client is gone
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
	u.leaveOnce.Do(func() { close(u.leaveRequested) })
	u.showStatus(w, r)
}
