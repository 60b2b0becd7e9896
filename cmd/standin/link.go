package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"daisyswitch/event"
	"daisyswitch/fakelink"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

const adminHeaderTimeout = 5 * time.Second

type linkCommand struct {
	Forward []string `long:"forward" required:"true" description:"address to stand in for, LISTEN=TO; repeat for more"`
	Admin   string   `long:"admin" required:"true" description:"IP:port of its own admin interface: PUT /v1/standin/mode {mode: pass, silent or forget}"`
}

// Execute forwards connections until it receives a signal to stop.
func (c *linkCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	var forwards []fakelink.Forward
	for _, f := range c.Forward {
		listen, to, both := strings.Cut(f, "=")
		if !both {
			return fmt.Errorf("forward %q is not LISTEN=TO", f)
		}
		forwards = append(forwards, fakelink.Forward{Listen: listen, To: to})
	}
	link, err := fakelink.New(forwards)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return errors.Join(err, link.Close())
	}
	router := httprouter.New()
	router.HandlerFunc(http.MethodPut, "/v1/standin/mode", func(w http.ResponseWriter, r *http.Request) { setMode(link, w, r) })
	admin := http.Server{Handler: router, ReadHeaderTimeout: adminHeaderTimeout}
	var serving conc.WaitGroup
	serving.Go(func() {
		if err := admin.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.ListenFailed.Error(err, "address", c.Admin)
		}
	})
	<-ctx.Done()
	err = errors.Join(admin.Close(), link.Close())
	serving.Wait()
	return err
}

func setMode(link *fakelink.Link, w http.ResponseWriter, r *http.Request) {
	var body struct {
		Mode fakelink.Mode `json:"mode"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	if err == nil {
		err = link.Set(body.Mode)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
