package shard_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBusyShard measures a second of a full shard by its number of workers:
// tasks of one second on workers with room for four, more waiting than fit.
func BenchmarkBusyShard(b *testing.B) {
	for _, count := range []int{50, 200, 700} {
		b.Run(fmt.Sprintf("%dworkers", count), func(b *testing.B) {
			w := newWorld(count)
			w.run(200 * time.Millisecond)
			for n := 0; b.Loop(); n++ {
				for i := 0; i < count/4; i++ {
					w.submit(fmt.Sprintf("%d-%d", n, i), step(12), step(4, 0))
				}
				w.run(time.Second)
			}
		})
	}
}
