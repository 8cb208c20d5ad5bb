// Package roster keeps the list of entries in the table: each writes a row when
// it starts and removes it when it stops in order. The list only orders who
// takes a service first; an entry that is listed and gone costs its successors
// a short wait.
package roster

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

const (
	// joinPause is the pause between two tries to write the own row; it doubles up
	// to joinPauseMost, since all entries of a site write theirs at one moment, to
	// one part.
	joinPause     = 200 * time.Millisecond
	joinPauseMost = 5 * time.Second

	// changeWait is how long a read may wait for a change of the list, and
	// changeRest the time between two. The list only orders successors, so it may
	// be some seconds old; and when some hundred entries start, each of them would
	// be woken by every other.
	changeWait = 20 * time.Second
	changeRest = time.Second

	// ListLag is how old the list may be as another entry tells it.
	ListLag = changeWait + changeRest

	// leaveWait bounds the removal of the own row, several times what it takes on a
	// calm day: the services are handed over after it, and callers wait for that.
	leaveWait = 150 * time.Millisecond

	// TableMembers holds the list.
	TableMembers = "member"
	partMembers  = "member"
)

// Roster is the list of entries as this one knows it.
type Roster struct {
	// Overdue is that of the follower of the list; it is set before Run.
	Overdue func() time.Duration

	table outside.Table
	clock clock.Clock
	log   *slog.Logger
	name  string
	self  owner.Self

	mu sync.Mutex

	// rows maps an entry's name to its newest incarnation.
	rows map[string]owner.Member

	// version is that of the own row; 0 before that is known to stand. left says
	// that the entry is not to be listed any more: a row whose write was under way
	// then is removed once it stands, since a releasing owner names the entry that was
	// listed last.
	version int64
	left    bool
}

// New returns the roster of the entry of the given name.
func New(table outside.Table, c clock.Clock, log *slog.Logger, name string, self owner.Self) *Roster {
	if self.Peer.IsValid() {
		self.Member.Peer = self.Peer.String()
	}
	return &Roster{
		table: table,
		clock: c,
		log:   log,
		name:  name,
		self:  self,
		rows:  make(map[string]owner.Member),
	}
}

// Join writes this entry's row; it tries until it succeeds or ctx ends.
func (r *Roster) Join(ctx context.Context) error {
	for failures := 1; !r.hasLeft(); failures++ {
		receipt, err := r.table.Transact(ctx, outside.Transaction{
			Puts: []outside.Put{{
				Key:   r.key(),
				Value: encode(r.self.Member),
			}},
		})
		if err == nil {
			r.log.Info("entry listed", "incarnation", r.self.Incarnation, "peer", r.self.Peer.String())
			if r.listed(receipt.Version) {
				r.unlist(ctx, receipt.Version)
			}
			return nil
		}
		r.log.Warn("entry not listed", "failures", failures, "error", err.Error())
		if !clock.Sleep(ctx, clock.Backoff(joinPause, joinPauseMost, failures)) {
			return nil
		}
	}
	return nil
}

// Leave removes this entry's row, before the entry hands over its services, so that
// no entry that stops at that time hands over to it. Where the write of the row is still
// under way, Join removes it.
func (r *Roster) Leave(ctx context.Context) {
	r.unlist(ctx, r.leave())
}

// unlist removes this entry's row of the given version, or any where it is 0. A failure
// is only logged: the row does no harm.
func (r *Roster) unlist(ctx context.Context, version int64) {
	bounded, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	tx := outside.Transaction{
		Removes: []outside.Key{r.key()},
	}
	if version != 0 {
		// One that takes effect late must not remove the row of the next life.
		tx.Checks = []outside.Check{{
			Key:     r.key(),
			Version: version,
		}}
	}
	if _, err := r.table.Transact(bounded, tx); err != nil {
		r.log.Warn("entry not removed from the list", "error", err.Error())
	}
}

// Members returns all listed entries, this one included.
func (r *Roster) Members() []owner.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []owner.Member{r.self.Member}
	for name, member := range r.rows {
		if name != r.name {
			list = append(list, member)
		}
	}
	return list
}

// Read returns all entries as they are listed at this moment.
func (r *Roster) Read(ctx context.Context) ([]owner.Member, error) {
	rows, _, err := r.table.ReadAll(ctx, TableMembers, partMembers)
	if err != nil {
		return nil, err
	}
	listed := r.decode(rows)
	list := make([]owner.Member, 0, len(listed))
	for _, member := range listed {
		list = append(list, member)
	}
	return list, nil
}

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	return owner.Follower{
		Table:    r.table,
		Name:     TableMembers,
		Log:      r.log,
		Wait:     changeWait,
		Interval: changeRest,
		Clock:    r.clock,
		Overdue:  r.Overdue,
		Read:     r.read,
		Apply:    r.apply,
	}.Run(ctx)
}

// Peer returns the address of this entry for others.
func (r *Roster) Peer() netip.AddrPort {
	return r.self.Peer
}

func (r *Roster) apply(rows []outside.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Gone {
			delete(r.rows, row.Key.Name)
		}
	}
	maps.Copy(r.rows, r.decode(rows))
}

// decode returns the members of rows by the names of their entries.
func (r *Roster) decode(rows []outside.Row) map[string]owner.Member {
	members := make(map[string]owner.Member, len(rows))
	for _, row := range rows {
		if row.Gone {
			delete(members, row.Key.Name)
			continue
		}
		var member owner.Member
		if err := json.Unmarshal(row.Value, &member); err != nil {
			r.log.Error("row left out", "table", row.Key.Table, "key", row.Key.Name, "error", err)
			continue
		}
		member.Listed = row.Version
		members[row.Key.Name] = member
	}
	return members
}

func encode(member owner.Member) []byte {
	body, err := json.Marshal(member)
	if err != nil {
		// A text and a number always encode.
		panic(err)
	}
	return body
}

func (r *Roster) hasLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// leave notes that the entry leaves, and returns the version of its row.
func (r *Roster) leave() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	return r.version
}

// listed notes the version of the own row, and reports whether the entry has left
// meanwhile.
func (r *Roster) listed(version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	return r.left
}

func (r *Roster) key() outside.Key {
	return outside.Key{
		Table: TableMembers,
		Part:  partMembers,
		Name:  r.name,
	}
}

func (r *Roster) read(ctx context.Context) (int64, error) {
	rows, version, err := r.table.ReadAll(ctx, TableMembers, partMembers)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	r.rows = make(map[string]owner.Member)
	r.mu.Unlock()
	r.apply(rows)
	return version, nil
}
