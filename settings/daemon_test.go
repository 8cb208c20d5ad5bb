package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/settings"
)

const good = `[entry]
id = entry1
zone = laval
platform = 127.0.0.1:7000
[listen]
callers = 127.0.0.1:7100
operators = 127.0.0.1:7200
peers = 127.0.0.1:7300
[peers]
certificate = c.pem
key = k.pem
authority = a.pem
`

func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	d, err := settings.ParseDaemon("good.ini", []byte(good))
	is.NoErr(err)
	is.Equal(d.ID, "entry1")
	is.Equal(d.MaxBody, int64(8<<20)) // Defaults fill what the file leaves out.
}

func TestRefusedSettings(t *testing.T) {
	cases := map[string]struct {
		text string

		// want are parts of the refusal: file and line, key, value, reason.
		want []string
	}{
		"unknown section": {
			text: good + "[lemons]\n",
			want: []string{"f.ini:13: [lemons]", "unknown section", "[entry]"},
		},
		"unknown key": {
			text: good + "[limits]\nspeed = 3\n",
			want: []string{"f.ini:14: [limits] speed = 3", "unknown key", "max_body"},
		},
		"bad unit": {
			text: good + "[limits]\nmax_body = 3 lemons\n",
			want: []string{"f.ini:14", "is not a size"},
		},
		"bad duration": {
			text: good + "[times]\npoll_interval = 1\n",
			want: []string{"f.ini:14", "is not a duration"},
		},
		"out of range": {
			text: good + "[times]\npoll_interval = 1h\n",
			want: []string{"must be at most 1m0s"},
		},
		"key twice": {
			text: good + "[log]\nlevel = info\nlevel = warn\n",
			want: []string{"the key stands twice"},
		},
		"name for address": {
			text: strings.Replace(good, "127.0.0.1:7000", "platform.example:7000", 1),
			want: []string{"f.ini:4: [entry] platform = platform.example:7000", "names are not resolved"},
		},
		"missing key": {
			text: strings.Replace(good, "id = entry1\n", "", 1),
			want: []string{"[entry]", "the key id is missing"},
		},
		"missing section": {
			text: strings.Split(good, "[peers]")[0],
			want: []string{"[peers]", "the section is missing"},
		},
		"bodies clash": {
			text: good + "[limits]\nmax_body = 1KiB\nbuffer_body = 2KiB\n",
			want: []string{"buffer_body = 2048", "is larger than max_body"},
		},
		"addresses clash": {
			text: strings.Replace(good, "127.0.0.1:7200", "127.0.0.1:7100", 1),
			want: []string{"is the address of callers too"},
		},
		"times clash": {
			text: good + "[times]\nsilent_after = 2s\n",
			want: []string{"at least five times tell_interval"},
		},
		"no INI file": {
			text: "]nonsense",
			want: []string{"f.ini"},
		},
		"key without a head": {
			text: "id = 3\n" + good,
			want: []string{"before the first section"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseDaemon("f.ini", []byte(c.text))
			var refusals *settings.Refusals
			if !errors.As(err, &refusals) {
				t.Fatalf("got %v, want refusals", err)
			}
			for _, part := range c.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("refusal %q does not say %q", err, part)
				}
			}
		})
	}
}

func FuzzParseDaemon(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[entry]\nid = \xff\n"))
	f.Add([]byte("[limits]\nmax_body = 9999999999999999999KiB\n"))
	f.Add([]byte("[a b]\n[a b]\n=\n"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = settings.ParseDaemon("f.ini", body)
	})
}
