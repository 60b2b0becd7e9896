package upstream

import (
	"io"
	"net/http"
	"time"

	"daisyswitch/event"
)

// Handler returns the HTTP handler for POST requests to Path.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(r.serve)
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, MaxAnnouncementBytes))
	if err != nil {
		http.Error(w, "announcement is incomplete or exceeds 65536 bytes", http.StatusBadRequest)
		return
	}
	a, err := ParseAnnouncement(body)
	if err != nil {
		event.AnnouncementRefused.Error(err, "from", req.RemoteAddr)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Announce(time.Now(), a)
	w.WriteHeader(http.StatusNoContent)
}
