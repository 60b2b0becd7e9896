package settings

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
)

// numberRule is the default and the allowed range of an integer setting.
type numberRule struct {
	Default  int64
	Min, Max int64
	Required bool // the key must be set; there is no default
}

func (b numberRule) allowed() string {
	return fmt.Sprintf("a whole number from %d to %d", b.Min, b.Max)
}

const (
	minuteMS = 60 * 1000
	mib      = 1 << 20
)

// numberRules holds the rule of each integer setting by its key. The key's suffix is the unit.
var numberRules = map[string]numberRule{
	"id":                        {Min: 1, Max: math.MaxInt32, Required: true},
	"control[].id":              {Min: 1, Max: math.MaxInt32, Required: true},
	"first":                     {Default: 0, Min: 0, Max: 1},
	"losses":                    {Default: 1, Min: 0, Max: 3},
	"longest_lease_ms":          {Default: 6000, Min: 1000, Max: 10 * minuteMS},
	"drain_ms":                  {Default: 4000, Min: 0, Max: 10 * minuteMS},
	"limits.header_bytes":       {Default: 64 << 10, Min: 4 << 10, Max: mib},
	"limits.body_bytes":         {Default: 8 * mib, Min: 1 << 10, Max: 1024 * mib},
	"limits.header_timeout_ms":  {Default: 5000, Min: 100, Max: minuteMS},
	"limits.request_timeout_ms": {Default: 10000, Min: 10, Max: 10 * minuteMS},
	"limits.queue_timeout_ms":   {Default: 500, Min: 1, Max: minuteMS},
	"limits.retry_percent":      {Default: 10, Min: 0, Max: 100},
	"tick_ms":                   {Default: 50, Min: 5, Max: 1000},
	"election_ticks":            {Default: 10, Min: 3, Max: 100},
	"lease_ms":                  {Default: 10000, Min: 1000, Max: 10 * minuteMS},
	"drift_ppm":                 {Default: 1000, Min: 1, Max: 100000},
	"snapshot_every":            {Default: 10000, Min: 10, Max: 10000000},
	"audit_keep":                {Default: 10000, Min: 10, Max: 10000000},
	"max_fds":                   {Default: 4096, Min: 512, Max: math.MaxInt32},
	"answers_keep":              {Default: 1000, Min: 10, Max: 1000000},
}

// textRule is the rule for a string setting.
type textRule struct {
	allowed  string
	valid    func(string) bool
	optional bool // the key may be omitted
}

var labelPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var (
	label     = textRule{"1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit first", labelPattern.MatchString, false}
	address   = textRule{"a numeric IP:port, such as 127.0.0.1:7000, with a port from 1 to 65535", validAddress, false}
	directory = textRule{"a directory path", func(s string) bool { return s != "" }, false}
)

// textRules holds the rule of each string setting by the last part of its key.
var textRules = map[string]textRule{
	"name":      label,
	"domain":    label,
	"inner":     address,
	"admin":     address,
	"callers":   address,
	"platform":  address,
	"operators": address,
	"data":      directory,

	"inner_listen":  {address.allowed, address.valid, true},
	"announcements": address,
	"clients":       address,
	"ready":         address,
	"address":       address,
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// addressesConflict reports whether two valid addresses can't both be listened on. An unspecified IP conflicts with every IP on the same port.
func addressesConflict(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}
