package figures

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Names of the counters of bytes, before the purpose.
const (
	linkSent     = "link_sent_bytes_total|"
	linkReceived = "link_received_bytes_total|"
)

// LinkUse is what went over the entry's link for one purpose.
type LinkUse struct {
	Purpose  string
	Sent     int64
	Received int64
}

// Link adds bytes that were sent and received for a purpose.
func (s *Set) Link(purpose string, sent, received int) {
	metrics.GetOrRegisterCounter(linkSent+purpose, s.registry).Inc(int64(sent))
	metrics.GetOrRegisterCounter(linkReceived+purpose, s.registry).Inc(int64(received))
}

// LinkUses returns the bytes of each purpose since the start, sorted by the purpose.
func (s *Set) LinkUses() []LinkUse {
	uses := make(map[string]*LinkUse)
	use := func(purpose string) *LinkUse {
		if uses[purpose] == nil {
			uses[purpose] = &LinkUse{
				Purpose: purpose,
			}
		}
		return uses[purpose]
	}
	s.registry.Each(func(name string, value any) {
		counter, ok := value.(metrics.Counter)
		if !ok {
			return
		}
		if purpose, found := strings.CutPrefix(name, linkSent); found {
			use(purpose).Sent = counter.Count()
		}
		if purpose, found := strings.CutPrefix(name, linkReceived); found {
			use(purpose).Received = counter.Count()
		}
	})
	list := make([]LinkUse, 0, len(uses))
	for _, one := range uses {
		list = append(list, *one)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Purpose < list[j].Purpose })
	return list
}

// String returns the use in kilobytes.
func (u LinkUse) String() string {
	return fmt.Sprintf("%s %d/%d", u.Purpose, u.Sent/1000, u.Received/1000)
}
