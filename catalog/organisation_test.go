package catalog_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
)

func TestOrganisationsThatClashAreRefused(t *testing.T) {
	for name, organisations := range map[string][]catalog.Organisation{
		"one key for two": {{
			Name: "north",
			Keys: catalog.DigestKeys([]string{"a"}),
		}, {
			Name: "south",
			Keys: catalog.DigestKeys([]string{"b", "a"}),
		}},
		"one name for two": {{
			Name: "north",
		}, {
			Name: "north",
		}},
		"no name": {{}},
		"a limit below zero": {{
			Name: "north",
			Limit: job.Room{
				MilliCPU: -1,
			},
		}},
		"a weight below zero": {{
			Name:   "north",
			Weight: -1,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &catalog.Catalog{
				Organisations: organisations,
			}
			var refused *catalog.OrganisationError
			is.True(errors.As(c.IndexKeys(), &refused))
		})
	}
}

func TestKeysAreFoundByOrganisation(t *testing.T) {
	is := is.New(t)
	c := &catalog.Catalog{
		Organisations: []catalog.Organisation{{
			Name: "north",
			Keys: catalog.DigestKeys([]string{"a", "b"}),
		}, {
			Name: "south",
			Keys: catalog.DigestKeys([]string{"c"}),
		}},
	}
	is.NoErr(c.IndexKeys())
	for key, want := range map[string]string{"a": "north", "b": "north", "c": "south", "d": "", "": ""} {
		got, _ := c.Authenticate(key)
		is.Equal(got, want)
	}
}
