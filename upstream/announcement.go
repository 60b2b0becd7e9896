package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"daisyswitch/wire"
)

// Path is the HTTP path to which an upstream posts its announcement each second.
const Path = "/v1/upstreams"

// Limits and defaults of an announcement's fields.
const (
	MaxAnnouncementBytes = 64 << 10
	maxNameBytes         = 256
	maxClasses           = 256
	maxSlots             = 1 << 16
	defaultSlots         = 8
	defaultConnections   = 64
)

// Announcement is the JSON body of a POST to Path, in which an upstream describes itself.
type Announcement struct {
	ID          string   `json:"id"`      // name and incarnation; a restarted upstream uses a new ID
	Address     string   `json:"address"` // IP:port
	Domain      string   `json:"domain"`
	Classes     []string `json:"classes"`
	Slots       int32    `json:"slots"`       // requests run concurrently, 8 if omitted
	Connections int32    `json:"connections"` // maximum open connections from all entries together, 64 if omitted
	Sequence    uint64   `json:"sequence"`    // increases with each announcement
	Leaving     bool     `json:"leaving,omitempty"`
	Instance    string   `json:"instance,omitempty"` // worker on the same machine
}

// ParseAnnouncement parses and validates the body of a POST to Path.
func ParseAnnouncement(body []byte) (*Announcement, error) {
	a := &Announcement{Slots: defaultSlots, Connections: defaultConnections}
	if err := json.Unmarshal(body, a); err != nil {
		return nil, fmt.Errorf("announcement: %w", err)
	}
	if err := a.validate(); err != nil {
		return nil, fmt.Errorf("announcement: %w", err)
	}
	return a, nil
}

func (a *Announcement) validate() error {
	if !validName(a.ID) || !validName(a.Domain) {
		return errors.New("id and domain must have 1 to 256 bytes")
	}
	if len(a.Instance) > maxNameBytes {
		return errors.New("instance must have at most 256 bytes")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.Connections < 1 || a.Connections > maxSlots {
		return errors.New("slots and connections must be 1 to 65536")
	}
	if len(a.Classes) == 0 || len(a.Classes) > maxClasses {
		return errors.New("classes must list 1 to 256 classes")
	}
	for _, class := range a.Classes {
		if !validName(class) {
			return errors.New("each class name must have 1 to 256 bytes")
		}
	}
	return nil
}

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes
}

func fromWire(m *wire.Announcement) *Announcement {
	return &Announcement{
		ID: m.GetId(), Address: m.GetAddress(), Domain: m.GetDomain(), Classes: m.GetClasses(),
		Slots: m.GetSlots(), Connections: m.GetConnections(), Sequence: m.GetSequence(),
		Leaving: m.GetLeaving(), Instance: m.GetInstance(),
	}
}

func (a *Announcement) wire(ageMS int64) *wire.Announcement {
	return &wire.Announcement{
		Id: a.ID, Address: a.Address, Domain: a.Domain, Classes: a.Classes,
		Slots: a.Slots, Connections: a.Connections, Sequence: a.Sequence,
		Leaving: a.Leaving, Instance: a.Instance, AgeMs: ageMS,
	}
}
