package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"daisyswitch/wire"
)

// Path is where an upstream posts its announcement each second.
const Path = "/v1/upstreams"

// Limits of an announcement's parts.
const (
	MaxAnnouncementBytes = 64 << 10
	maxNameBytes         = 256
	maxClasses           = 256
	maxSlots             = 1 << 16
	defaultSlots         = 8
	defaultConnections   = 64
)

// Announcement is the body of a post to Path: an upstream's word about itself.
type Announcement struct {
	ID          string   `json:"id"`      // name and incarnation, new with each start
	Address     string   `json:"address"` // IP:port
	Domain      string   `json:"domain"`
	Classes     []string `json:"classes"`
	Slots       int32    `json:"slots"`       // requests run at a time, 8 if left out
	Connections int32    `json:"connections"` // open at a time from all entries together, 64 if left out
	Sequence    uint64   `json:"sequence"`    // grows with each announcement
	Leaving     bool     `json:"leaving,omitempty"`
	Instance    string   `json:"instance,omitempty"` // worker whose machine it shares
}

// ParseAnnouncement reads and checks the body of a post.
func ParseAnnouncement(body []byte) (*Announcement, error) {
	a := &Announcement{Slots: defaultSlots, Connections: defaultConnections}
	if err := json.Unmarshal(body, a); err != nil {
		return nil, fmt.Errorf("announcement: %w", err)
	}
	if err := a.check(); err != nil {
		return nil, fmt.Errorf("announcement: %w", err)
	}
	return a, nil
}

func (a *Announcement) check() error {
	if !validName(a.ID) || !validName(a.Domain) {
		return errors.New("id and domain must have 1 to 256 bytes")
	}
	if len(a.Instance) > maxNameBytes {
		return errors.New("instance is too long")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.Connections < 1 || a.Connections > maxSlots {
		return errors.New("slots and connections must be 1 to 65536")
	}
	if len(a.Classes) == 0 || len(a.Classes) > maxClasses {
		return errors.New("1 to 256 classes are wanted")
	}
	for _, class := range a.Classes {
		if !validName(class) {
			return errors.New("a class must have 1 to 256 bytes")
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
