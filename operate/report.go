package operate

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/burn"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/state"
)

// reportTimeout bounds the wait for one peer's counts.
const reportTimeout = time.Second

// counted is what an entry counted: by service, one Counts for each window.
type counted map[string][]burn.Counts

// Reporter adds up what all entries counted.
type Reporter struct {
	services  *entry.Services
	transport *member.Transport
	peers     *member.Peers
	watch     *state.Watch
	store     *control.Store
	clock     clock.Clock
}

// NewReporter returns a reporter and registers its handler.
func NewReporter(s *entry.Services, t *member.Transport, p *member.Peers, w *state.Watch, store *control.Store, c clock.Clock) *Reporter {
	r := &Reporter{
		services:  s,
		transport: t,
		peers:     p,
		watch:     w,
		store:     store,
		clock:     c,
	}
	t.Handle(member.KindReport, func(context.Context, []byte) ([]byte, error) {
		return member.Encode(r.own())
	})
	return r
}

// Report asks every peer for its counts and adds them to the entry's own.
func (r *Reporter) Report(ctx context.Context) ReportAnswer {
	sum := r.own()
	answer := ReportAnswer{
		Entries: []string{r.peers.Own().ID},
	}
	var mu sync.Mutex
	var asking errgroup.Group
	for _, peer := range r.peers.Live() {
		asking.Go(func() error {
			counts, err := r.ask(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answer.Missing = append(answer.Missing, peer.Hello.ID)
				return nil
			}
			answer.Entries = append(answer.Entries, peer.Hello.ID)
			add(sum, counts)
			return nil
		})
	}
	_ = asking.Wait()
	sort.Strings(answer.Entries)
	sort.Strings(answer.Missing)
	answer.Services = r.spent(sum)
	answer.Plans = r.plans()
	return answer
}

func (r *Reporter) ask(ctx context.Context, peer member.Heard) (counted, error) {
	address, err := netip.ParseAddrPort(peer.Hello.Peers)
	if err != nil {
		return nil, err
	}
	asking, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := r.transport.Call(asking, address, member.KindReport, nil)
	if err != nil {
		return nil, err
	}
	return member.Decode[counted](body)
}

func (r *Reporter) own() counted {
	now := r.clock.Now()
	counts := make(counted)
	for name, recorder := range r.services.Counts() {
		for _, window := range burn.Windows() {
			counts[name] = append(counts[name], recorder.Over(now, window))
		}
	}
	return counts
}

// plans names the plans that ran in the longest window.
func (r *Reporter) plans() []string {
	windows := burn.Windows()
	since := clock.Millis(r.clock.Now().Add(-windows[len(windows)-1]))
	var names []string
	for _, plan := range r.store.Plans() {
		if plan.Confirmed > since {
			names = append(names, plan.ID+" ("+plan.Intent.String()+")")
		}
	}
	sort.Strings(names)
	return names
}

func (r *Reporter) spent(sum counted) []ServiceReport {
	view := r.watch.View()
	reports := make([]ServiceReport, 0, len(sum))
	for name, counts := range sum {
		report := ServiceReport{
			Service:   name,
			Objective: view.Config.Services[name].Objective,
		}
		for i, window := range burn.Windows() {
			report.Windows = append(report.Windows, burn.Spent(counts[i], window, report.Objective))
		}
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Service < reports[j].Service })
	return reports
}

// add adds counts to sum; what has another number of windows is left out.
func add(sum, counts counted) {
	for name, windows := range counts {
		if sum[name] == nil {
			sum[name] = make([]burn.Counts, len(burn.Windows()))
		}
		if len(windows) != len(sum[name]) {
			continue
		}
		for i := range windows {
			sum[name][i] = sum[name][i].Plus(windows[i])
		}
	}
}
