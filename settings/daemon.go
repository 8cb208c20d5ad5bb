package settings

import (
	"errors"
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

	MaxBody      int64
	BufferBody   int64
	MaxCallers   int
	QueueLength  int
	StopTimeout  time.Duration
	HomeInterval time.Duration
	LeaseLength  time.Duration
	PollInterval time.Duration
	TellInterval time.Duration
	SilentAfter  time.Duration
}

// DaemonSchema returns the schema of lemonstreamd's settings file.
func DaemonSchema() Schema {
	return Schema{
		Sections: []Section{
			entrySection(),
			listenSection(),
			peersSection(),
			limitsSection(),
			timesSection(),
			{
				Name: "log",
				Doc:  "Where and how the daemon logs; it writes to standard error.",
				Keys: []Key{
					{
						Name:    "format",
						Kind:    KindChoice,
						Default: "json",
						Choices: []string{"json", "text"},
						Doc:     "Form of a log line.",
					},
					{
						Name:    "level",
						Kind:    KindChoice,
						Default: "info",
						Choices: []string{"debug", "info", "warn", "error"},
						Doc:     "Least level that is logged.",
					},
				},
			},
		},
	}
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
		QueueLength:  file.Count("limits", "queue_length"),
		StopTimeout:  file.Duration("times", "stop_timeout"),
		HomeInterval: file.Duration("times", "home_interval"),
		LeaseLength:  file.Duration("times", "lease_length"),
		PollInterval: file.Duration("times", "poll_interval"),
		TellInterval: file.Duration("times", "tell_interval"),
		SilentAfter:  file.Duration("times", "silent_after"),
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

// IsRefusal reports whether err is a refusal of a file.
func IsRefusal(err error) bool {
	var refusals *Refusals
	return errors.As(err, &refusals)
}

func entrySection() Section {
	return Section{
		Name:     "entry",
		Required: true,
		Doc:      "What this entry is.",
		Keys: []Key{
			{
				Name:     "id",
				Kind:     KindName,
				Required: true,
				Doc:      "Name of the entry, unique in the deployment.",
			},
			{
				Name:     "zone",
				Kind:     KindName,
				Required: true,
				Doc:      "Availability zone of the entry.",
			},
			{
				Name:    "region",
				Kind:    KindName,
				Default: "",
				Doc:     "Region of the entry.",
			},
			{
				Name:     "platform",
				Kind:     KindAddress,
				Required: true,
				Doc:      "Address of the platform's table, object store and instance list.",
			},
		},
	}
}

func limitsSection() Section {
	return Section{
		Name: "limits",
		Doc:  "Bounds of what one entry takes on.",
		Keys: []Key{
			{
				Name:    "entries",
				Kind:    KindCount,
				Default: "9",
				Min:     1,
				Max:     64,
				Doc:     "Most entries that share an endpoint's connections.",
			},
			{
				Name:    "max_body",
				Kind:    KindBytes,
				Default: "8MiB",
				Min:     1 << 10,
				Max:     1 << 30,
				Doc:     "Largest body of a request or an answer.",
			},
			{
				Name:    "buffer_body",
				Kind:    KindBytes,
				Default: "64KiB",
				Min:     0,
				Max:     1 << 20,
				Doc:     "Bodies up to this size are held whole; larger ones are streamed.",
			},
			{
				Name:    "max_callers",
				Kind:    KindCount,
				Default: "6000",
				Min:     1,
				Max:     100000,
				Doc:     "Most caller connections open at once.",
			},
			{
				Name:    "queue_length",
				Kind:    KindCount,
				Default: "256",
				Min:     0,
				Max:     100000,
				Doc:     "Most requests of a service that wait for a slot.",
			},
		},
	}
}

func listenSection() Section {
	return Section{
		Name:     "listen",
		Required: true,
		Doc:      "Addresses the entry listens on.",
		Keys: []Key{
			{
				Name:     "callers",
				Kind:     KindAddress,
				Required: true,
				Doc:      "HTTP for callers.",
			},
			{
				Name:     "operators",
				Kind:     KindAddress,
				Required: true,
				Doc:      "HTTP for operators, metrics and health.",
			},
			{
				Name:     "peers",
				Kind:     KindAddress,
				Required: true,
				Doc:      "QUIC for other entries.",
			},
		},
	}
}

func peersSection() Section {
	return Section{
		Name:     "peers",
		Required: true,
		Doc:      "Other entries and the keys that entries know each other by.",
		Keys: []Key{
			{
				Name:    "seeds",
				Kind:    KindAddressList,
				Default: "",
				Doc:     "Peer addresses tried at the start.",
			},
			{
				Name:     "certificate",
				Kind:     KindFile,
				Required: true,
				Doc:      "PEM file of this entry's certificate, read again when it changes.",
			},
			{
				Name:     "key",
				Kind:     KindFile,
				Required: true,
				Doc:      "PEM file of its private key.",
			},
			{
				Name:     "authority",
				Kind:     KindFile,
				Required: true,
				Doc:      "PEM file of the authority that signed the entries' certificates.",
			},
		},
	}
}

func timesSection() Section {
	return Section{
		Name: "times",
		Doc:  "Intervals and patience.",
		Keys: []Key{
			{
				Name:    "stop_timeout",
				Kind:    KindDuration,
				Default: "30s",
				Min:     100,
				Max:     300000,
				Doc:     "Longest wait for requests in flight at a planned stop.",
			},
			{
				Name:    "home_interval",
				Kind:    KindDuration,
				Default: "1m",
				Min:     1000,
				Max:     3600000,
				Doc:     "How far ahead a home may grant unrepeatable requests; the time its keys are refused after its sudden death, and the table outage it rides out.",
			},
			{
				Name:    "lease_length",
				Kind:    KindDuration,
				Default: "6s",
				Min:     500,
				Max:     600000,
				Doc:     "Length of a control lease.",
			},
			{
				Name:    "poll_interval",
				Kind:    KindDuration,
				Default: "2s",
				Min:     50,
				Max:     60000,
				Doc:     "Pause between two looks at the table and the list.",
			},
			{
				Name:    "tell_interval",
				Kind:    KindDuration,
				Default: "1s",
				Min:     50,
				Max:     60000,
				Doc:     "Pause between two messages to a peer.",
			},
			{
				Name:    "silent_after",
				Kind:    KindDuration,
				Default: "6s",
				Min:     200,
				Max:     600000,
				Doc:     "A peer that is silent this long counts as gone.",
			},
		},
	}
}
