package shard_test

import (
	"fmt"
	"testing"
	"time"
)

// workerTasks is how many tasks fit on a worker in these benchmarks.
const workerTasks = 4

// BenchmarkBusyShard measures one second of a full shard by its number of workers. Each worker
// fits four tasks, each task runs for one second, and more tasks wait than fit.
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

// BenchmarkTurn measures the first placement pass of a demand burst, in which a thousand tasks are
// placed on as many free slots.
func BenchmarkTurn(b *testing.B) {
	const workers, tasks = 290, 8
	for b.Loop() {
		b.StopTimer()
		w := newWorld(workers)
		w.run(200 * time.Millisecond)
		for i := range workers * workerTasks / tasks {
			w.submit(fmt.Sprintf("j%d", i), step(tasks))
		}
		b.StartTimer()
		orders, _ := w.core.Next(w.now)
		b.ReportMetric(float64(len(orders.Starts)), "starts")
	}
}
