package crowd_test

import (
	"fmt"
	"strings"
	"testing"
)

const (
	// peerBodyBytes is the largest body that another entry sends, and peerConnections how many
	// connections send one.
	peerBodyBytes   = 4 << 20
	peerConnections = 60
)

// heads returns connections whose heads have short lines, no end, or a line without end.
func heads(address string) []shape {
	return []shape{
		{
			address:     address,
			connections: manyConnections / 2,
			script: same(script{
				head:  []byte("GET /ready HTTP/1.1\r\nHost: h\r\n"),
				body:  lines(headerBytes - 600),
				times: 1,
			}),
		},
		{
			address:     address,
			connections: manyConnections / 4,
			script:      same(endless("GET /", strings.Repeat("a", 1000), endlessBytes)),
		},
		{
			address:     address,
			connections: manyConnections / 4,
			script: same(script{
				head:  []byte("GET /metrics HTTP/1.1\r\nHost: h\r\n"),
				body:  lines(4 * headerBytes),
				times: 1,
			}),
		},
	}
}

// TestHeadsAtReadinessFillMemory covers heads at the listener that the balancer asks.
func TestHeadsAtReadinessFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(heads(e.readiness)...)
}

// TestSilentConnectionsAtReadinessUseUpDescriptors covers connections there over which
// nothing is said.
func TestSilentConnectionsAtReadinessUseUpDescriptors(t *testing.T) {
	e := start(t, machine{
		memoryMB:    memoryMB,
		descriptors: fewDescriptors,
	})
	e.endure(shape{
		address:     e.readiness,
		connections: manyConnections,
		script:      same(script{}),
	})
}

// TestUnreadMetricsFillMemory covers requests for the metrics, with heads of legal size, whose
// answers nobody reads.
func TestUnreadMetricsFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(shape{
		address:     e.readiness,
		connections: manyConnections,
		script: same(script{
			body:  append([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n"), append(lines(headerBytes-600), "\r\n"...)...),
			times: 1_000,
			deaf:  true,
		}),
	})
}

// TestHeadsAtPeersFillMemory covers heads at the listener for other entries.
func TestHeadsAtPeersFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(heads(e.peers)...)
}

// TestSilentConnectionsAtPeersUseUpDescriptors covers connections there over which nothing is
// said.
func TestSilentConnectionsAtPeersUseUpDescriptors(t *testing.T) {
	e := start(t, machine{
		memoryMB:    memoryMB,
		descriptors: fewDescriptors,
	})
	e.endure(shape{
		address:     e.peers,
		connections: manyConnections,
		script:      same(script{}),
	})
}

// TestRecordsAtPeersThatStopShortFillMemory covers records of jobs for the owner of a service
// that lack their last byte.
func TestRecordsAtPeersThatStopShortFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(shape{
		address:     e.peers,
		connections: peerConnections,
		script: same(script{
			head:  fmt.Appendf(nil, "POST /v1/submit?service=s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", peerBodyBytes-1),
			body:  []byte(strings.Repeat(" ", peerBodyBytes-2)),
			times: 1,
		}),
	})
}

// TestDirectivesAtPeersWithoutEndFillMemory covers a text in a directive for the owner of a
// service that goes on and on.
func TestDirectivesAtPeersWithoutEndFillMemory(t *testing.T) {
	e := start(t, small)
	s := endless("POST /v2/load?service=s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"closed\":[\"aaaa\r\n",
		"3e8\r\n"+strings.Repeat("a", 1000)+"\r\n", 2*peerBodyBytes)
	e.endure(shape{
		address:     e.peers,
		connections: peerConnections / 2,
		script:      same(s),
	})
}

// TestCrowdAtAllListenersFillsMemory covers what the connections of all listeners hold
// together.
func TestCrowdAtAllListenersFillsMemory(t *testing.T) {
	e := start(t, small)
	var shapes []shape
	for _, address := range []string{e.callers, e.readiness, e.peers} {
		shapes = append(shapes, mixed(address, manyConnections/3)...)
	}
	e.endure(shapes...)
}
