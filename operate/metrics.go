package operate

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/gin-gonic/gin"
	metrics "github.com/rcrowley/go-metrics"

	"lemonstream.dev/lemonstream/burn"
)

// outcomeNames are the names of outcomes in metrics, in order of burn's
// constants.
var outcomeNames = [burn.Outcomes]string{"whole", "refused", "unknown", "late", "failed"}

// metrics writes the registry in the text form that common scrapers read: a
// name and a number on each line.
func (h *Handler) metrics(c *gin.Context) {
	registry := h.collect()
	var lines []string
	registry.Each(func(name string, metric any) {
		if gauge, ok := metric.(metrics.Gauge); ok {
			lines = append(lines, fmt.Sprintf("%s %d\n", name, gauge.Value()))
		}
	})
	sort.Strings(lines)
	c.String(http.StatusOK, strings.Join(lines, ""))
}

// collect reads every counter of the entry into a registry.
func (h *Handler) collect() metrics.Registry {
	registry := metrics.NewRegistry()
	gauge := func(name string, value int64) {
		metrics.GetOrRegisterGauge("lemonstream_"+name, registry).Update(value)
	}
	view := h.watch.View()
	gauge("config_version", view.Config.Version)
	gauge("table_revision", view.Revision)
	gauge("instances", int64(len(view.Instances)))
	gauge("peers_heard", int64(len(h.peers.Heard())))
	gauge("table_silent_ms", h.clock.Now().Sub(h.watch.FreshAt()).Milliseconds())
	gauge("peer_sent_bytes", h.reporter.transport.Sent())
	gauge("platform_bytes", h.platform.Bytes())
	for service, recorder := range h.reporter.services.Counts() {
		for outcome, count := range recorder.Total() {
			gauge(fmt.Sprintf("requests{service=%q,outcome=%q}", service, outcomeNames[outcome]), count)
		}
	}
	for key, count := range h.counts.All() {
		gauge(fmt.Sprintf("%s{reason=%q}", key.Name, key.Reason), count)
	}
	return registry
}
