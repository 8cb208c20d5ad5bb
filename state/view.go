package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sort"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/store"
)

// Home is the value of a home row: which entry remembers the unrepeatable
// requests of a partition, and which issue times it may grant.
type Home struct {
	// Epoch grows with each change of holder.
	Epoch int64 `json:"epoch"`

	// Holder is the incarnation that may grant; empty after a hand-over.
	Holder string `json:"holder"`

	// Address is the holder's peer address.
	Address string `json:"address"`

	// Start and End bound the issue times the holder may grant, in
	// milliseconds since the Unix epoch: Start <= issued < End. The ranges
	// of two holders of a partition never overlap, unless Seen hands over
	// what the earlier one granted.
	Start int64 `json:"start"`
	End   int64 `json:"end"`

	// Seen is the object with the keys granted up to a hand-over; empty
	// where there was none.
	Seen string `json:"seen,omitempty"`
}

// Pool is the value of a pool's row. A permit is a conditional write of it.
type Pool struct {
	Name string `json:"name"`

	// Members are the ids of the pool's instances. An instance stands in the
	// row of the one pool that its own row names.
	Members map[string]bool `json:"members"`

	// Out maps an instance that may not be counted on to the plan it left
	// for; every instance of the pool that is not serving stands here.
	Out map[string]string `json:"out"`

	// Plans are the active plans that touch the pool. Two plans that share an
	// instance never stand here together.
	Plans map[string]bool `json:"plans"`
}

// View is what an entry knows, built whole from the cache and the list. It is
// never changed once built.
type View struct {
	Config *config.Config

	// ConfigAccepted is when Config was accepted; zero before the first.
	ConfigAccepted time.Time

	Homes     map[string]Home
	Instances map[string]fleet.Instance
	Pools     map[string]Pool
	Members   map[string]Member
	// Plans maps a plan to its encoded row; package intent decodes it.
	Plans map[string]json.RawMessage

	// Rows maps a key to the row that the view was built from.
	Rows map[string]store.Row

	// Revision is the highest version of a row.
	Revision int64

	// Listed maps an instance to the newest line of the platform's list.
	Listed map[string]store.Listed

	// byPool maps a pool to the ids of its instances, sorted.
	byPool map[string][]string
}

// Member is the value of an entry's row.
type Member struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Peers       string `json:"peers"`
	Operators   string `json:"operators"`

	// Left marks an entry that stopped as planned.
	Left bool `json:"left,omitempty"`

	// Until is how long the entry may be counted on without a new write, in
	// milliseconds since the Unix epoch.
	Until int64 `json:"until"`
}

// BuildView decodes the rows into a view. What an earlier view decoded from the
// very same row is taken over; earlier may be nil. A row that can't be decoded is
// reported in the error and holds up nothing else: the view keeps the row that
// was known before, at its own version, so that a write which depends on it
// fails. The view is never nil.
func BuildView(earlier *View, rows []store.Row, listed []store.Listed) (*View, error) {
	view := &View{
		Config:    &config.Config{},
		Homes:     make(map[string]Home),
		Instances: make(map[string]fleet.Instance),
		Pools:     make(map[string]Pool),
		Members:   make(map[string]Member),
		Plans:     make(map[string]json.RawMessage),
		Rows:      make(map[string]store.Row, len(rows)),
		Listed:    make(map[string]store.Listed, len(listed)),
		byPool:    make(map[string][]string),
	}
	if earlier == nil {
		earlier = &View{}
	}
	var broken []error
	for _, row := range rows {
		view.Rows[row.Key] = row
		view.Revision = max(view.Revision, row.Version)
		if len(row.Value) == 0 {
			// A deleted row keeps its version, and is nothing else.
			continue
		}
		if err := view.put(earlier, row); err != nil {
			broken = append(broken, fmt.Errorf("decoding row %s at version %d: %w", row.Key, row.Version, err))
			view.keep(earlier, row.Key)
		}
	}
	for _, line := range listed {
		view.Listed[line.ID] = line
	}
	for id, instance := range view.Instances {
		view.byPool[instance.Pool] = append(view.byPool[instance.Pool], id)
	}
	for _, ids := range view.byPool {
		sort.Strings(ids)
	}
	return view, errors.Join(broken...)
}

// Clone returns a copy whose maps may be changed and are never nil.
func (p Pool) Clone() Pool {
	clone := Pool{
		Name:    p.Name,
		Members: make(map[string]bool, len(p.Members)),
		Out:     make(map[string]string, len(p.Out)),
		Plans:   make(map[string]bool, len(p.Plans)),
	}
	maps.Copy(clone.Members, p.Members)
	maps.Copy(clone.Out, p.Out)
	maps.Copy(clone.Plans, p.Plans)
	return clone
}

// ConfigBody returns the text of the configuration in force.
func (v *View) ConfigBody() ([]byte, error) {
	row, found := v.Rows[fleet.ConfigKey]
	if !found {
		return nil, nil
	}
	var stored config.Row
	err := json.Unmarshal(row.Value, &stored)
	return stored.Body, err
}

// Ready reports whether the view can serve callers.
func (v *View) Ready() bool {
	return v.Config.Version > 0 && len(v.Instances) > 0
}

// InPool returns the ids of the pool's instances, sorted; the caller must not
// change the slice.
func (v *View) InPool(pool string) []string {
	return v.byPool[pool]
}

// Lost reports whether the list says that the instance does not run. An
// instance missing from the list counts as lost.
func (v *View) Lost(id string) bool {
	line, found := v.Listed[id]
	return !found || line.State != store.ListedLive
}

// keep takes over what the earlier view knew of the row.
func (v *View) keep(earlier *View, key string) {
	row, known := earlier.Rows[key]
	if !known || len(row.Value) == 0 {
		delete(v.Rows, key)
		return
	}
	v.Rows[key] = row
	// It was decoded before, so it can be taken over.
	_ = v.put(earlier, row)
}

func (v *View) put(earlier *View, row store.Row) error {
	same := earlier.Rows[row.Key].Version == row.Version
	switch {
	case row.Key == fleet.ConfigKey:
		if same {
			v.Config = earlier.Config
			v.ConfigAccepted = earlier.ConfigAccepted
			return nil
		}
		return v.putConfig(row)
	case strings.HasPrefix(row.Key, fleet.HomePrefix):
		return putJSON(v.Homes, earlier.Homes, same, fleet.HomePrefix, row)
	case strings.HasPrefix(row.Key, fleet.InstancePrefix):
		return putJSON(v.Instances, earlier.Instances, same, fleet.InstancePrefix, row)
	case strings.HasPrefix(row.Key, fleet.PoolPrefix):
		return putJSON(v.Pools, earlier.Pools, same, fleet.PoolPrefix, row)
	case strings.HasPrefix(row.Key, fleet.MemberPrefix):
		return putJSON(v.Members, earlier.Members, same, fleet.MemberPrefix, row)
	case strings.HasPrefix(row.Key, fleet.PlanPrefix):
		return putJSON(v.Plans, earlier.Plans, same, fleet.PlanPrefix, row)
	}
	return nil
}

func (v *View) putConfig(row store.Row) error {
	var stored config.Row
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return err
	}
	parsed, err := config.Parse("configuration", stored.Body, stored.Version)
	if err != nil {
		return err
	}
	v.Config = parsed
	v.ConfigAccepted = time.UnixMilli(stored.Accepted)
	return nil
}

// putJSON decodes the row into the map, or takes over what was decoded of the
// same row before.
func putJSON[T any](into, earlier map[string]T, same bool, prefix string, row store.Row) error {
	name, _ := fleet.NameOf(row.Key, prefix)
	if same {
		into[name] = earlier[name]
		return nil
	}
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return err
	}
	into[name] = value
	return nil
}
