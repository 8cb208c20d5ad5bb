package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Refusal is one fault of a file.
type Refusal struct {
	File string

	// Line is counted from 1; it is 0 where the fault has no line.
	Line    int
	Section string
	Key     string
	Value   string
	Reason  string
}

// Refusals is the error of a file with faults. Nothing of the file applies.
type Refusals struct {
	// List holds at least one fault, in order of line.
	List []Refusal
}

// reader collects the values and the faults of one file.
type reader struct {
	name     string
	lines    []string
	file     *File
	refusals []Refusal
}

// Error implements error.
func (r *Refusals) Error() string {
	texts := make([]string, 0, len(r.List))
	for _, refusal := range r.List {
		texts = append(texts, refusal.String())
	}
	return strings.Join(texts, "\n")
}

// String returns the fault as one line: file:line: [section] key = value: why.
func (r Refusal) String() string {
	text := r.File
	if r.Line > 0 {
		text += fmt.Sprintf(":%d", r.Line)
	}
	if r.Section != "" {
		text += fmt.Sprintf(": [%s]", r.Section)
	}
	if r.Key != "" {
		text += fmt.Sprintf(" %s = %s", r.Key, r.Value)
	}
	return text + ": " + r.Reason
}

func (r *reader) key(section string, schema Section, key *ini.Key) {
	known, found := schema.key(key.Name())
	if !found {
		r.refuse(section, key.Name(), key.String(), "unknown key: the section knows "+schema.keyNames())
		return
	}
	if values := key.ValueWithShadows(); len(values) > 1 {
		r.refuse(section, key.Name(), strings.Join(values, " and "), "the key stands twice: keep one of them")
		return
	}
	value, err := known.Check(key.String())
	if err != nil {
		r.refuse(section, key.Name(), key.String(), err.Error())
		return
	}
	r.file.put(section, key.Name(), value)
}

// line finds the line of a key, or of the section's head when key is empty.
func (r *reader) line(section, key string) int {
	inside := false
	for i, text := range r.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			inside = text == "["+section+"]"
			if inside && key == "" {
				return i + 1
			}
			continue
		}
		name, _, found := strings.Cut(text, "=")
		if inside && found && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}

func (r *reader) refuse(section, key, value, reason string) {
	r.refusals = append(r.refusals, Refusal{
		File:    r.name,
		Line:    r.line(section, key),
		Section: section,
		Key:     key,
		Value:   value,
		Reason:  reason,
	})
}

func (r *reader) required(s Schema) {
	for _, section := range s.Sections {
		if section.Required && len(r.file.Labels(section.Name)) == 0 && !r.file.has(section.Name) {
			r.refuse(section.Name, "", "", "the section is missing")
		}
		if !section.Labelled && !r.file.has(section.Name) {
			r.fill(section.Name, section)
		}
	}
}

// fill puts the defaults of the keys that the section does not hold.
func (r *reader) fill(name string, schema Section) {
	for _, key := range schema.Keys {
		if r.file.holds(name, key.Name) {
			continue
		}
		if key.Required {
			r.refuse(name, "", "", "the key "+key.Name+" is missing: "+key.Doc)
			continue
		}
		value, err := key.Check(key.Default)
		if err != nil {
			r.refuse(name, key.Name, key.Default, "default "+err.Error())
			continue
		}
		r.file.put(name, key.Name, value)
	}
}

func (r *reader) section(s Schema, section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		for _, key := range section.Keys() {
			r.refuse("", key.Name(), key.String(), "the key stands before the first section")
		}
		return
	}
	schema, found := s.section(name)
	if !found {
		r.refuse(name, "", "", "unknown section: the file may hold "+s.sectionNames())
		return
	}
	before := len(r.refusals)
	r.file.open(name)
	for _, key := range section.Keys() {
		r.key(name, schema, key)
	}
	if len(r.refusals) == before {
		r.fill(name, schema)
	}
}

func (s Schema) section(name string) (Section, bool) {
	head, label, labelled := strings.Cut(name, " ")
	for _, section := range s.Sections {
		if section.Name == head && section.Labelled == labelled && (!labelled || strings.TrimSpace(label) != "") {
			return section, true
		}
	}
	return Section{}, false
}

func (s Schema) sectionNames() string {
	names := make([]string, 0, len(s.Sections))
	for _, section := range s.Sections {
		name := section.Name
		if section.Labelled {
			name += " LABEL"
		}
		names = append(names, "["+name+"]")
	}
	return strings.Join(names, ", ")
}

func (s Section) key(name string) (Key, bool) {
	for _, key := range s.Keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}

func (s Section) keyNames() string {
	names := make([]string, 0, len(s.Keys))
	for _, key := range s.Keys {
		names = append(names, key.Name)
	}
	return strings.Join(names, ", ")
}
