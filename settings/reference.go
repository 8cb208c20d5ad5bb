package settings

import (
	"fmt"
	"strings"
)

// Reference returns the schema as Markdown, one table a section.
func (s Schema) Reference() string {
	var text strings.Builder
	for _, section := range s.Sections {
		name := section.Name
		if section.Labelled {
			name += " NAME"
		}
		fmt.Fprintf(&text, "### [%s]\n\n%s\n\n", name, section.Doc)
		text.WriteString("| key | value | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, key := range section.Keys {
			fmt.Fprintf(&text, "| %s | %s | %s | %s | %s |\n", key.Name, key.kindName(), key.defaultName(), key.boundsName(), key.Doc)
		}
		text.WriteString("\n")
	}
	return text.String()
}

func (k Key) boundsName() string {
	switch k.Kind {
	case KindChoice:
		return strings.Join(k.Choices, ", ")
	case KindBytes, KindCount:
		if k.Max > 0 {
			return fmt.Sprintf("%d to %d", k.Min, k.Max)
		}
		return fmt.Sprintf("from %d", k.Min)
	case KindDuration:
		return fmt.Sprintf("%d to %d ms", k.Min, k.Max)
	case KindShare:
		return fmt.Sprintf("%d%% to 100%%", k.Min)
	default:
		return ""
	}
}

func (k Key) defaultName() string {
	if k.Required {
		return "required"
	}
	if k.Default == "" {
		return "empty"
	}
	return k.Default
}

func (k Key) kindName() string {
	names := map[Kind]string{
		KindAddress:     "IP address and port",
		KindAddressList: "list of addresses",
		KindBytes:       "size",
		KindChoice:      "choice",
		KindCount:       "whole number",
		KindDuration:    "duration",
		KindFile:        "file",
		KindName:        "name",
		KindShare:       "percentage",
	}
	return names[k.Kind]
}
