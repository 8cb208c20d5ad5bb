package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Daemon is the settings of one lemonstreamd.
type Daemon struct {
	// ID is unique among the entries of a deployment.
	ID     string
	Zone   string
	Region string

	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	Platform  netip.AddrPort

	// Seeds are the peer addresses of other entries, tried at the start.
	Seeds []netip.AddrPort

	// PeerCert, PeerKey and PeerCA are PEM files; they are read again when
	// they change.
	PeerCert string
	PeerKey  string
	PeerCA   string

	LogFormat string
	LogLevel  string

	// Entries is the largest number of entries that share an endpoint's
	// slots and connections; at least 1.
	Entries int

	MaxBody        int64
	MaxHeader      int64
	MaxHeaderLines int
	BufferBody     int64
	MaxCallers     int

	// ConnMemory is what connections of callers may hold together, in bytes.
	ConnMemory int64

	QueueLength  int
	StopTimeout  time.Duration
	HomeInterval time.Duration
	LeaseLength  time.Duration
	PollInterval time.Duration
	TellInterval time.Duration
	SilentAfter  time.Duration

	SnapshotInterval time.Duration
}

// LoadDaemon reads and checks the settings file at path. It returns *Refusals
// when anything in it is wrong.
func LoadDaemon(path string) (Daemon, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, fmt.Errorf("reading settings: %w", err)
	}
	return ParseDaemon(path, body)
}

// ParseDaemon checks body as a settings file called name.
func ParseDaemon(name string, body []byte) (Daemon, error) {
	file, err := DaemonSchema().Parse(name, body)
	if err != nil {
		return Daemon{}, err
	}
	d := Daemon{
		ID:           file.Text("entry", "id"),
		Zone:         file.Text("entry", "zone"),
		Region:       file.Text("entry", "region"),
		Callers:      file.Address("listen", "callers"),
		Operators:    file.Address("listen", "operators"),
		Peers:        file.Address("listen", "peers"),
		Platform:     file.Address("entry", "platform"),
		Seeds:        file.Addresses("peers", "seeds"),
		PeerCert:     file.Text("peers", "certificate"),
		PeerKey:      file.Text("peers", "key"),
		PeerCA:       file.Text("peers", "authority"),
		LogFormat:    file.Text("log", "format"),
		LogLevel:     file.Text("log", "level"),
		Entries:      file.Count("limits", "entries"),
		MaxBody:      file.Bytes("limits", "max_body"),
		BufferBody:   file.Bytes("limits", "buffer_body"),
		MaxCallers:   file.Count("limits", "max_callers"),
		MaxHeader:    file.Bytes("limits", "max_header"),
		ConnMemory:   file.Bytes("limits", "connection_memory"),
		QueueLength:  file.Count("limits", "queue_length"),
		StopTimeout:  file.Duration("times", "stop_timeout"),
		HomeInterval: file.Duration("times", "home_interval"),
		LeaseLength:  file.Duration("times", "lease_length"),
		PollInterval: file.Duration("times", "poll_interval"),
		TellInterval: file.Duration("times", "tell_interval"),
		SilentAfter:  file.Duration("times", "silent_after"),

		MaxHeaderLines:   file.Count("limits", "max_header_lines"),
		SnapshotInterval: file.Duration("times", "snapshot_interval"),
	}
	return d, d.clashes(name)
}

// clashes refuses values that are right alone and wrong together.
func (d Daemon) clashes(name string) error {
	var list []Refusal
	clash := func(section, key string, value any, reason string) {
		list = append(list, Refusal{
			File:    name,
			Section: section,
			Key:     key,
			Value:   fmt.Sprint(value),
			Reason:  reason,
		})
	}
	if d.BufferBody > d.MaxBody {
		clash("limits", "buffer_body", d.BufferBody, "is larger than max_body")
	}
	if d.Callers == d.Operators {
		clash("listen", "operators", d.Operators, "is the address of callers too: give each its own port")
	}
	if d.PollInterval*2 > d.LeaseLength {
		clash("times", "poll_interval", d.PollInterval, "must be at most half of lease_length")
	}
	if d.TellInterval*5 > d.SilentAfter {
		clash("times", "silent_after", d.SilentAfter, "must be at least five times tell_interval")
	}
	if len(list) == 0 {
		return nil
	}
	return &Refusals{
		List: list,
	}
}
