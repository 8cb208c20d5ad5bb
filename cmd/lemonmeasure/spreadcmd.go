package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// The spread measure: nine entries in one process, each with its own view,
// transport and duties, and the daemon's default intervals.
const (
	spreadEntries = 9
	spreadChanges = 20
	spreadPoll    = 2 * time.Second
	spreadTell    = time.Second
)

// spreader is one entry of the measure.
type spreader struct {
	watch *state.Watch
	peers *member.Peers
}

func newSpreadCmd() *ffcli.Command {
	return newMeasureCmd("spread", "Time until a configuration is in force at all of nine entries.", func(ctx context.Context) error {
		for _, mode := range []string{"all-well", "third-of-messages-lost", "table-down-after-write", "table-down-and-third-lost"} {
			if err := measureSpread(ctx, mode); err != nil {
				return err
			}
		}
		return nil
	})
}

func measureSpread(ctx context.Context, mode string) error {
	log := slog.New(slog.DiscardHandler)
	group := kernel.NewGroup(ctx, log)
	defer group.Stop()
	folder, err := os.MkdirTemp("", "lemonmeasure")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := member.IssueKeys(folder, time.Now()); err != nil {
		return err
	}
	table := standin.NewTable()
	var faults standin.Switch
	var lossy atomic.Bool
	entries, closeAll, err := newSpreaders(group, log, folder, standin.InMemory(table, &faults, &standin.Late{}), &lossy)
	if err != nil {
		return err
	}
	defer closeAll()
	time.Sleep(3 * time.Second)
	lossy.Store(mode == "third-of-messages-lost" || mode == "table-down-and-third-lost")
	down := mode == "table-down-after-write" || mode == "table-down-and-third-lost"
	var times []float64
	for version := int64(1); version <= spreadChanges; version++ {
		faults.Set(standin.FaultNone)
		begin := time.Now()
		if err := change(table, entries[int(version)%spreadEntries], version); err != nil {
			return err
		}
		if down {
			faults.Set(standin.FaultDown)
		}
		for !everywhere(entries, version) {
			time.Sleep(time.Millisecond)
			if time.Since(begin) > time.Minute {
				return fmt.Errorf("configuration %d is not everywhere after a minute (%s)", version, mode)
			}
		}
		times = append(times, time.Since(begin).Seconds())
	}
	sort.Float64s(times)
	report("spread-p50-"+mode, sizeTarget, ours, times[len(times)/2], "s")
	report("spread-max-"+mode, sizeTarget, ours, times[len(times)-1], "s")
	return nil
}

// change accepts a configuration at one entry, as a confirmed rollout does.
func change(table *standin.Table, at *spreader, version int64) error {
	row := encodeRow(fleet.ConfigKey, config.Row{
		Version: version,
		Body:    []byte("[service s]\npool = p\n"),
	})
	revision, err := table.Transact(store.Transaction{
		Op: fmt.Sprint(version),
		Checks: []store.Check{{
			Key:     row.Key,
			Version: table.Read(row.Key).Version,
		}},
		Puts: []store.Put{{
			Key:   row.Key,
			Value: row.Value,
		}},
	})
	row.Version = revision
	at.peers.TellRows([]store.Row{row})
	return err
}

func everywhere(entries []*spreader, version int64) bool {
	for _, entry := range entries {
		if entry.watch.View().Config.Version < version {
			return false
		}
	}
	return true
}

func newSpreaders(group *kernel.Group, log *slog.Logger, folder string, table store.Table, lossy *atomic.Bool) (entries []*spreader, closeAll func(), err error) {
	keys, err := member.LoadKeys(folder+"/"+member.CertificateFile, folder+"/"+member.KeyFile, folder+"/"+member.AuthorityFile)
	if err != nil {
		return nil, nil, err
	}
	var seeds []netip.AddrPort
	for range spreadEntries {
		address, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		seeds = append(seeds, address)
	}
	outside := store.Platform{
		Table: table,
		Instances: store.Instances{
			List: func(context.Context) ([]store.Listed, error) { return nil, nil },
		},
	}
	var transports []*member.Transport
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(3, 3))
	for number, address := range seeds {
		transport, err := member.Listen(address, keys, group, log)
		if err != nil {
			return nil, nil, err
		}
		transport.Drop = func(netip.AddrPort) bool {
			mu.Lock()
			defer mu.Unlock()
			return lossy.Load() && random.IntN(3) == 0
		}
		transports = append(transports, transport)
		entry := &spreader{
			watch: state.NewWatch(outside, clock.System(), log, spreadPoll),
		}
		self := fleet.Self{
			ID:          fmt.Sprintf("entry%d", number),
			Incarnation: fmt.Sprintf("entry%d/1", number),
			Peers:       address,
		}
		entry.peers = member.NewPeers(self, transport, entry.watch, clock.System(), group, log, member.PeersOptions{
			Seeds:       seeds,
			Interval:    spreadTell,
			SilentAfter: 6 * spreadTell,
		})
		group.Go("watch", entry.watch.Run)
		group.Go("listener", transport.Run)
		group.Go("peers", entry.peers.Run)
		entries = append(entries, entry)
	}
	return entries, func() {
		for _, transport := range transports {
			_ = transport.Close()
		}
	}, nil
}

func freeAddress() (netip.AddrPort, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = socket.Close() }()
	return netip.ParseAddrPort(socket.LocalAddr().String())
}
