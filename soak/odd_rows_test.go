package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

// oddValues are values of rows that no entry, worker or operator writes.
func oddValues() map[string][]byte {
	values := map[string][]byte{
		"text":      []byte("no row"),
		"null":      []byte("null"),
		"empty":     []byte("{}"),
		"list":      []byte("[]"),
		"nested":    []byte(strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)),
		"field":     []byte(`{"x":` + strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000) + "}"),
		"utf8":      {'"', 0xff, 0xfe, '"'},
		"duplicate": []byte(`{"version":1,"version":2,"wave":3,"wave":4}`),
		"full":      bytes.Repeat([]byte("x"), 65_536),
		"cut":       {0xbf, 0x01},
		"huge":      {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"deep":      append(bytes.Repeat([]byte{0x81}, 20_000), 0x01),
		"endless":   append(bytes.Repeat([]byte{0x9f}, 9_000), bytes.Repeat([]byte{0xff}, 9_000)...),
	}
	for name, number := range map[string]string{
		"digits":   strings.Repeat("9", 400),
		"exponent": "1e400",
		"large":    "4611686018427387904",
		"larger":   "9223372036854775808",
		"negative": "-1",
	} {
		values["json-"+name] = []byte(fmt.Sprintf(`{"version":%[1]s,"wave":%[1]s,"machines":["m-0"],"durationS":%[1]s,"maxItems":%[1]s,`+
			`"incarnation":"x","peer":"127.0.0.1:%[1]s","cores":%[1]s}`, number))
	}
	for name, number := range map[string]any{
		"large":    int64(1) << 62,
		"larger":   uint64(1) << 63,
		"negative": -1,
		"text":     strings.Repeat("x", 5_000),
	} {
		row := make(map[int]any)
		for key := 1; key <= 11; key++ {
			row[key] = number
		}
		value, err := cbor.Marshal(row)
		if err != nil {
			panic(err)
		}
		values["cbor-"+name] = value
	}
	return values
}

// oddKeys are the lists in which another writer leaves rows.
func oddKeys(name string) []outside.Key {
	var keys []outside.Key
	for _, list := range []struct{ table, part, prefix string }{
		{table: "servers"},
		{table: "op"},
		{table: "op", prefix: "wave/"},
		{table: "op", prefix: "evacuate/"},
		{table: "status", prefix: "wave/"},
		{table: "member", part: "member"},
		{table: "owner", part: "s"},
		{table: "owner", part: "nobody"},
		{table: "beat", part: "s"},
		{table: "progress", part: "s"},
		{table: "used", part: "s"},
		{table: "refused", part: "s"},
		{table: "withdrawn", part: "s"},
		{table: "fence", part: "s"},
		{table: "intake.s", part: "s"},
		{table: "intake.s", part: "s", prefix: "cancel."},
		{table: "progress", part: "/standby/s"},
		{table: "intake.s", part: "/standby/s"},
		{table: "quota", part: "quota"},
		{table: "wave", part: "/instances"},
	} {
		keys = append(keys, outside.Key{
			Table: list.table,
			Part:  list.part,
			Name:  list.prefix + "odd-" + name,
		})
	}
	return keys
}

// leaveOddRows writes all odd values into all lists once.
func (d *deployment) leaveOddRows() {
	values := oddValues()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, key := range oddKeys(name) {
			d.rows.Write(key, values[name])
		}
	}
}

// runJob hands a job in and waits until it is completed.
func (d *deployment) runJob(number int) {
	d.t.Helper()
	path := fmt.Sprintf("/q/%016x", number)
	d.any(http.MethodPost, path, body, succeeded)
	d.any(http.MethodGet, path, "", completed)
}

// Another writer left one odd entry in a list, and the processes that read the list ended again and
// again, or stopped following it.
func TestEntriesFollowListsWithOddRows(t *testing.T) {
	d := deploy(t)
	d.any(http.MethodPost, "/q/0000000000000001", body, succeeded)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d.leaveOddRows()
	d.group.Go("odd rows", func(context.Context) error {
		for clock.Sleep(ctx, time.Second) {
			d.leaveOddRows()
		}
		return nil
	})
	d.any(http.MethodGet, "/q/0000000000000001", "", completed)
	d.addInstance("m-late", "s")
	for i, e := range d.entries {
		// The next owner reads all rows of its services.
		_ = e.command.Process.Signal(syscall.SIGKILL)
		_, _ = e.command.Process.Wait()
		d.start(e)
		d.runJob(2 + i)
	}
	d.maintain(1)
	d.waveEnds(1)
	for _, e := range d.entries {
		if err := e.command.Process.Signal(syscall.Signal(0)); err != nil {
			t.Errorf("entry at %s has ended: %v", e.front, err)
		}
		log, err := os.ReadFile(e.output.Name())
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(log, []byte("panic")) {
			t.Errorf("entry at %s panicked", e.front)
		}
		t.Logf("log of %d bytes", len(log))
	}
	faults, _ := d.oracle.Faults()
	for _, fault := range faults {
		t.Error(fault)
	}
}

// awaitOther waits until a row has another value.
func (d *deployment) awaitOther(key outside.Key, value []byte) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		row, err := d.rows.Table().Row(context.Background(), key)
		if err == nil && row != nil && !bytes.Equal(row.Value, value) {
			return
		}
	}
	d.t.Fatalf("row %v was not written again", key)
}

// Another writer replaced the rows that name owners, and no entry served again.
func TestEntriesServeAfterTheirRowsWereReplaced(t *testing.T) {
	d := deploy(t)
	d.runJob(1)
	number := 2
	for _, part := range []string{"s", "/standby/s", "/instances"} {
		for _, table := range []string{"owner", "beat"} {
			key := outside.Key{
				Table: table,
				Part:  part,
				Name:  table,
			}
			odd := oddValues()["text"]
			d.rows.Write(key, odd)
			if !strings.HasPrefix(part, "/standby/") {
				d.awaitOther(key, odd)
			}
			d.runJob(number)
			number++
		}
	}
	for _, e := range d.entries {
		_ = e.command.Process.Signal(syscall.SIGKILL)
		_, _ = e.command.Process.Wait()
		d.start(e)
	}
	d.runJob(number)
	d.maintain(1)
	d.waveEnds(1)
	faults, _ := d.oracle.Faults()
	for _, fault := range faults {
		t.Error(fault)
	}
}
