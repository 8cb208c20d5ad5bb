package settings

import (
	"net/netip"
	"sort"
	"strings"
	"time"
)

// File is a checked file: every key of its schema has a value of its kind.
type File struct {
	// Name is what the file is called in messages.
	Name string

	// values maps section and key to a value that passed its check.
	values map[string]map[string]any
}

func newFile(name string) *File {
	return &File{
		Name:   name,
		values: make(map[string]map[string]any),
	}
}

// Address returns the address at the key.
func (f *File) Address(section, key string) netip.AddrPort {
	return value[netip.AddrPort](f, section, key)
}

// Addresses returns the addresses at the key.
func (f *File) Addresses(section, key string) []netip.AddrPort {
	return value[[]netip.AddrPort](f, section, key)
}

// Bytes returns the size at the key, in bytes.
func (f *File) Bytes(section, key string) int64 {
	return value[int64](f, section, key)
}

// Count returns the whole number at the key.
func (f *File) Count(section, key string) int {
	return int(value[int64](f, section, key))
}

// Duration returns the duration at the key.
func (f *File) Duration(section, key string) time.Duration {
	return value[time.Duration](f, section, key)
}

// Labels returns the labels of a family of sections, sorted.
func (f *File) Labels(name string) []string {
	var labels []string
	for section := range f.values {
		head, label, found := strings.Cut(section, " ")
		if found && head == name {
			labels = append(labels, strings.TrimSpace(label))
		}
	}
	sort.Strings(labels)
	return labels
}

// Share returns the share at the key, between 0 and 1.
func (f *File) Share(section, key string) float64 {
	return value[float64](f, section, key)
}

// Text returns the name, choice or file path at the key.
func (f *File) Text(section, key string) string {
	return value[string](f, section, key)
}

func (f *File) has(section string) bool {
	_, found := f.values[section]
	return found
}

func (f *File) holds(section, key string) bool {
	_, found := f.values[section][key]
	return found
}

func (f *File) open(section string) {
	if !f.has(section) {
		f.values[section] = make(map[string]any)
	}
}

func (f *File) put(section, key string, v any) {
	f.open(section)
	f.values[section][key] = v
}

func value[T any](f *File, section, key string) T {
	v, _ := f.values[section][key].(T)
	return v
}
