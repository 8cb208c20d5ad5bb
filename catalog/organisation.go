package catalog

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"lemonstream.dev/lemonstream/job"
)

// KeyDigest is the SHA-256 digest of a caller's key. The keys themselves are kept nowhere, so
// that no log line, row or dump of memory tells one, and a look-up takes a time that depends
// on the digest only.
type KeyDigest [sha256.Size]byte

// Organisation is a group of callers that share keys and a quota.
type Organisation struct {
	Name string

	// Weight is its share of what is full, in relation to the weights of the others.
	Weight float64

	// Limit is what its tasks may take on all workers of all services together; a part that
	// is 0 has no limit.
	Limit job.Room

	// Keys are the digests of its keys.
	Keys []KeyDigest
}

// Bounded reports whether there is a limit to what the organisation may run.
func (o Organisation) Bounded() bool {
	return o.Limit != (job.Room{})
}

// OrganisationError reports an organisation that no configuration may hold.
type OrganisationError struct {
	Organisation string
	Reason       string
}

// Error implements error.
func (e *OrganisationError) Error() string {
	return fmt.Sprintf("organisation %q %s", e.Organisation, e.Reason)
}

// DigestKeys returns the digests of keys.
func DigestKeys(keys []string) []KeyDigest {
	digests := make([]KeyDigest, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, sha256.Sum256([]byte(key)))
	}
	return digests
}

// IndexKeys checks the organisations and prepares Authenticate. It returns an
// *OrganisationError where two share a name or a key, or a figure is below zero.
func (c *Catalog) IndexKeys() error {
	c.holders = make(map[KeyDigest]string)
	c.byName = make(map[string]Organisation, len(c.Organisations))
	for _, o := range c.Organisations {
		if err := c.indexOrganisation(o); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) indexOrganisation(o Organisation) error {
	if _, taken := c.byName[o.Name]; taken || o.Name == "" {
		return &OrganisationError{
			Organisation: o.Name,
			Reason:       "has no name, or that of another one",
		}
	}
	if o.Weight < 0 || o.Limit.MilliCPU < 0 || o.Limit.MemoryMB < 0 || o.Limit.Accelerators < 0 {
		return &OrganisationError{
			Organisation: o.Name,
			Reason:       "has a weight or a limit below zero",
		}
	}
	c.byName[o.Name] = o
	for _, key := range o.Keys {
		if holder, taken := c.holders[key]; taken && holder != o.Name {
			return &OrganisationError{
				Organisation: o.Name,
				Reason:       "has a key in common with " + holder,
			}
		}
		c.holders[key] = o.Name
	}
	return nil
}

// Authenticate returns the organisation that a key belongs to; false where the key is in no
// organisation of this version.
func (c *Catalog) Authenticate(key string) (string, bool) {
	name, found := c.holders[sha256.Sum256([]byte(key))]
	return name, found
}

// HasLimits reports whether an organisation has a limit to what it may run.
func (c *Catalog) HasLimits() bool {
	return slices.ContainsFunc(c.Organisations, Organisation.Bounded)
}

// Organisation returns the organisation of the given name.
func (c *Catalog) Organisation(name string) (Organisation, bool) {
	o, found := c.byName[name]
	return o, found
}
