package scheduler

import (
	"net/netip"
	"time"

	"lemonstream.dev/lemonstream/feed"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/roster"
)

const (
	// sharedFrom is the number of entries from which they follow the operator's table and the
	// list of entries through one another. A few cost the store little, and each knows a change
	// without the help of another.
	sharedFrom = 16

	// feedWaitShare is the part of the time until a configuration must be in force for which
	// a source may hold a question: one that hangs, and a read of the store after it, are over
	// well before.
	feedWaitShare = 1.0 / 3

	// feedSlack is added to the time for which a source's own read of the store is held, for
	// how long ago the store must have confirmed what it tells.
	feedSlack = 250 * time.Millisecond
)

// shareFeeds sets up how this entry follows tables that others follow as well.
func (d *Daemon) shareFeeds(peers *peer.Client, incarnation string) {
	d.feeds = feed.NewReader(feed.Options{
		Table:   d.table,
		Sources: d.feedSources,
		Ask:     peers.Changes,
		Heard:   d.health.heard,
		Essence: map[string]func([]byte) []byte{
			platform.TableWorkers: platform.EssenceOfRegistration,
		},
		Wait:  min(owner.ShortFeedWait, part(d.settings.ConfigApply, feedWaitShare)),
		Fresh: owner.ShortFeedWait + feedSlack,
		Lag: map[string]time.Duration{
			roster.TableMembers: roster.ListLag,
		},
		Self:  incarnation,
		Clock: d.clock,
		Count: d.figures.Count,
		Log:   d.log,
	})
	// The owners are read from the store alone: an entry that has not heard of a takeover tells
	// the owner before of a job that it has written itself, and both would run it.
	d.followed = d.feeds.Shared(platform.TableOperator, platform.TableWorkers, roster.TableMembers)
}

// feedSources returns the entries that follow a table at the store: the owner of the instances
// reads the registrations, and every owner all else.
func (d *Daemon) feedSources(table string) []netip.AddrPort {
	if table == platform.TableWorkers {
		if source, found := d.keeper.InstancesOwner(); found {
			return []netip.AddrPort{source}
		}
		return nil
	}
	if len(d.roster.Members()) < sharedFrom {
		return nil
	}
	sources, owns := d.keeper.Owners()
	if owns {
		return nil
	}
	return sources
}
