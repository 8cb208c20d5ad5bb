package conns

import (
	"context"
	"time"
)

// secondTry is the second try of a call: it is made once the first one has waited
// for half of its time over a connection that had worked before.
type secondTry struct {
	client *Client
	call   Call

	// stopFirst ends the first try once this one has an answer.
	stopFirst context.CancelFunc

	// timer is nil while no second try is due.
	timer *time.Timer

	// answer and err are valid once done is closed.
	done   chan struct{}
	answer Answer
	err    error
}

// sendTwice makes a call that may be made twice. The first answer counts.
func (c *Client) sendTwice(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, stopFirst := context.WithCancel(ctx)
	defer stopFirst()
	second := &secondTry{
		client:    c,
		call:      call,
		stopFirst: stopFirst,
		done:      make(chan struct{}),
	}
	answer, err := c.send(first, call, func(u use) { second.due(ctx, u) })
	if second.timer == nil || second.timer.Stop() {
		return answer, err
	}
	if err == nil {
		cancel()
	}
	<-second.done
	if err != nil && second.err == nil {
		return second.answer, nil
	}
	return answer, err
}

// due lets the second try begin once the first has waited long enough. The first one
// may be slow for any other reason, so it goes on.
func (s *secondTry) due(ctx context.Context, u use) {
	deadline, bounded := ctx.Deadline()
	left := time.Until(deadline) - s.call.Wait
	if s.timer != nil || !u.proved || !bounded || left < 2*leastWait {
		return
	}
	s.timer = time.AfterFunc(s.call.Wait+left/2, func() {
		defer close(s.done)
		if !s.client.budget.spend() {
			s.err = context.DeadlineExceeded
			return
		}
		s.client.pool.drop(s.call.To, u.at.Add(s.call.Wait))
		again := s.call
		again.Target = s.call.Second.Target
		again.Body = s.call.Second.Body
		s.answer, s.err = s.client.send(ctx, again, func(use) {})
		if s.err == nil {
			s.stopFirst()
		}
	})
}
