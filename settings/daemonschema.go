package settings

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

// connectionKeys are the bounds of what callers' connections hold.
func connectionKeys() []Key {
	return []Key{
		{
			Name:    "max_callers",
			Kind:    KindCount,
			Default: "6000",
			Min:     1,
			Max:     100000,
			Doc:     "Most caller connections open at once.",
		},
		{
			Name:    "max_header",
			Kind:    KindBytes,
			Default: "32KiB",
			Min:     1 << 10,
			Max:     1 << 20,
			Doc:     "Largest head of a request, with its request line.",
		},
		{
			Name:    "max_header_lines",
			Kind:    KindCount,
			Default: "12000",
			Min:     16,
			Max:     1000000,
			Doc:     "Most lines of a request's head.",
		},
		{
			Name:    "connection_memory",
			Kind:    KindBytes,
			Default: "192MiB",
			Min:     8 << 20,
			Max:     1 << 40,
			Doc:     "Most memory that the connections of callers hold together; beyond it, the one that is idle or incomplete for the longest is closed.",
		},
	}
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
		Keys: append(connectionKeys(), []Key{
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
				Name:    "queue_length",
				Kind:    KindCount,
				Default: "256",
				Min:     0,
				Max:     100000,
				Doc:     "Most requests of a service that wait for a slot.",
			},
		}...),
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
			durationKey("stop_timeout", "30s", 100, 300_000, "Longest wait for requests in flight at a planned stop."),
			durationKey("home_interval", "1m", 1000, 3_600_000, "How far ahead a home may grant unrepeatable requests; the time its keys are refused after its sudden death, and the table outage it rides out."),
			durationKey("lease_length", "6s", 500, 600_000, "Length of a control lease."),
			durationKey("poll_interval", "2s", 50, 60_000, "Pause between two looks at the table."),
			durationKey("tell_interval", "1s", 50, 60_000, "Pause between two messages to a peer."),
			durationKey("silent_after", "6s", 200, 600_000, "A peer that is silent this long counts as gone."),
			durationKey("snapshot_interval", "5m", 100, 3_600_000, "Pause between two snapshots in the object store."),
		},
	}
}

// durationKey returns a key for a duration between least and most, both in
// milliseconds.
func durationKey(name, standard string, least, most int64, doc string) Key {
	return Key{
		Name:    name,
		Kind:    KindDuration,
		Default: standard,
		Min:     least,
		Max:     most,
		Doc:     doc,
	}
}
