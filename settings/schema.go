// Package settings reads INI files against a schema and refuses the whole file
// when any line of it is wrong. The daemon's own settings and the
// configuration that operators roll out both go through it.
package settings

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Kinds of value.
const (
	KindAddress Kind = iota
	KindAddressList
	KindBytes
	KindChoice
	KindCount
	KindDuration
	KindFile
	KindName
	KindShare
)

// Key is one key of a section.
type Key struct {
	Name string
	Kind Kind

	// Default is the value of an absent key; it must pass the check itself
	// unless the key is required.
	Default string

	// Required refuses a section without the key.
	Required bool

	// Min and Max bound a count, a share in percent, or a size in bytes; for
	// a duration they are in milliseconds. Max 0 means no upper bound.
	Min int64
	Max int64

	// Choices are the values of a KindChoice.
	Choices []string

	// Doc is one sentence for the reference page.
	Doc string
}

// Kind is the form that a value takes.
type Kind int

// Schema lists the sections a file may hold.
type Schema struct {
	Sections []Section
}

// Section is one section, or a family of sections written [name LABEL].
type Section struct {
	Name string

	// Labelled marks a family; each of its sections carries a label.
	Labelled bool

	// Required refuses a file without the section.
	Required bool

	Doc  string
	Keys []Key
}

// Check parses value by the key's kind. The returned value is a
// netip.AddrPort, []netip.AddrPort, time.Duration, int64, float64 or string.
func (k Key) Check(value string) (any, error) {
	switch k.Kind {
	case KindAddress:
		return parseAddress(value)
	case KindAddressList:
		return parseAddressList(value)
	case KindBytes:
		return k.parseBytes(value)
	case KindChoice:
		return k.parseChoice(value)
	case KindCount:
		return k.parseCount(value)
	case KindDuration:
		return k.parseDuration(value)
	case KindShare:
		return k.parseShare(value)
	default:
		return k.parseName(value)
	}
}

// Parse reads body against the schema. It returns the file, or *Refusals with
// every fault that it found; name is what the faults call the file.
func (s Schema) Parse(name string, body []byte) (*File, error) {
	reader := &reader{
		name:     name,
		lines:    strings.Split(string(body), "\n"),
		file:     newFile(name),
		refusals: nil,
	}
	loaded, err := ini.LoadSources(ini.LoadOptions{
		Insensitive:             false,
		AllowShadows:            true,
		SkipUnrecognizableLines: false,
		KeyValueDelimiters:      "=",
	}, body)
	if err != nil {
		return nil, &Refusals{
			List: []Refusal{{
				File:   name,
				Reason: "not an INI file: " + err.Error(),
			}},
		}
	}
	for _, section := range loaded.Sections() {
		reader.section(s, section)
	}
	reader.required(s)
	if len(reader.refusals) > 0 {
		sort.SliceStable(reader.refusals, func(i, j int) bool {
			return reader.refusals[i].Line < reader.refusals[j].Line
		})
		return nil, &Refusals{
			List: reader.refusals,
		}
	}
	return reader.file, nil
}

func (k Key) bounds(value int64, format func(int64) string) error {
	if value < k.Min {
		return fmt.Errorf("must be at least %s", format(k.Min))
	}
	if k.Max > 0 && value > k.Max {
		return fmt.Errorf("must be at most %s", format(k.Max))
	}
	return nil
}

func (k Key) parseBytes(value string) (any, error) {
	units := []struct {
		suffix string
		size   int64
	}{
		{
			suffix: "KiB",
			size:   1 << 10,
		},
		{
			suffix: "MiB",
			size:   1 << 20,
		},
		{
			suffix: "B",
			size:   1,
		},
	}
	for _, unit := range units {
		digits, found := strings.CutSuffix(value, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil {
			break
		}
		size := number * unit.size
		return size, k.bounds(size, func(v int64) string { return strconv.FormatInt(v, 10) + "B" })
	}
	return nil, fmt.Errorf("is not a size: write a whole number with B, KiB or MiB, such as 64KiB")
}

func (k Key) parseChoice(value string) (any, error) {
	for _, choice := range k.Choices {
		if value == choice {
			return value, nil
		}
	}
	return nil, fmt.Errorf("must be one of %s", strings.Join(k.Choices, ", "))
}

func (k Key) parseCount(value string) (any, error) {
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("is not a whole number")
	}
	return number, k.bounds(number, func(v int64) string { return strconv.FormatInt(v, 10) })
}

func (k Key) parseDuration(value string) (any, error) {
	duration, err := time.ParseDuration(value)
	if err != nil {
		return nil, fmt.Errorf("is not a duration: write a number with ms, s, m or h, such as 250ms")
	}
	return duration, k.bounds(duration.Milliseconds(), func(v int64) string {
		return (time.Duration(v) * time.Millisecond).String()
	})
}

func (k Key) parseName(value string) (any, error) {
	if value == "" && k.Required {
		return nil, fmt.Errorf("must not be empty")
	}
	if strings.ContainsAny(value, "\x00\r\n") {
		return nil, fmt.Errorf("holds a control character")
	}
	return value, nil
}

func (k Key) parseShare(value string) (any, error) {
	digits, found := strings.CutSuffix(value, "%")
	if !found {
		return nil, fmt.Errorf("is not a share: write a percentage, such as 10%%")
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if err != nil {
		return nil, fmt.Errorf("is not a share: write a percentage, such as 10%%")
	}
	if number < float64(k.Min) || number > 100 {
		return nil, fmt.Errorf("must lie between %d%% and 100%%", k.Min)
	}
	return number / 100, nil
}

func parseAddress(value string) (any, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return nil, fmt.Errorf("is not an IP address with a port, such as 127.0.0.1:7000; names are not resolved")
	}
	return address, nil
}

func parseAddressList(value string) (any, error) {
	addresses := make([]netip.AddrPort, 0)
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:7000; names are not resolved", part)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
