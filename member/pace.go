package member

import "bytes"

const (
	// eagerTicks is the number of intervals for which a new configuration is
	// told to everyone, so that it gets through where messages are lost.
	eagerTicks = 5

	// quietTicks is the number of intervals between two messages of an entry
	// that has no news. It keeps control's bytes low at rest.
	quietTicks = 3
)

// What to do at a tick.
const (
	tellNobody telling = iota

	// tellOwn tells the peers with which this entry starts the talk.
	tellOwn

	// tellEveryone tells all peers.
	tellEveryone
)

// pace decides at each tick whom to tell.
type pace struct {
	// told is the last Hello told, without its revision.
	told []byte

	// config is the newest configuration seen.
	config int64

	// eager counts down the ticks in which everyone is told, quiet counts the
	// ticks without a message.
	eager int
	quiet int
}

// telling is what to do at a tick.
type telling int

// next returns what to do at this tick for an entry that would tell own.
func (p *pace) next(own Hello) telling {
	if own.Config != p.config {
		p.config = own.Config
		p.eager = eagerTicks
	}
	// The revision grows whenever any entry writes; it is no news by itself.
	own.Revision = 0
	news, err := Encode(own)
	if err != nil {
		return tellNobody
	}
	p.quiet++
	if p.eager == 0 && p.quiet < quietTicks && bytes.Equal(news, p.told) {
		return tellNobody
	}
	p.told = news
	p.quiet = 0
	if p.eager > 0 {
		p.eager--
		return tellEveryone
	}
	return tellOwn
}
