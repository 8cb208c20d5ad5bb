package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// maxRequestedWorkers is the maximum number of workers that one ticket request names. The
	// platform expects 30 for a step.
	maxRequestedWorkers = 30

	// ticketRetryInterval is the pause after a ticket request that failed or granted no
	// ticket.
	ticketRetryInterval = 300 * time.Millisecond

	// maxOpenTicketRequests is the maximum number of open ticket requests of a shard. The
	// ticket service handles them one at a time and refuses more than 32 queued ones.
	maxOpenTicketRequests = 4

	// ticketExpiryMargin is how long before its expiry a ticket is no longer used, because an
	// order may be in transit for that long.
	ticketExpiryMargin = 300 * time.Millisecond
)

// stepTickets holds which workers are known to be allowed, or not, to run a step.
type stepTickets struct {
	// tickets maps the id of a worker that may run the step to its ticket.
	tickets map[string]string

	// denied holds the ids of workers that may not run the step. A denial never changes for
	// an incarnation.
	denied map[string]bool

	// tickets are used until validUntil. requesting is set while a ticket request is open; the
	// next one is sent at retryAt at the earliest.
	validUntil time.Time
	requesting bool
	retryAt    time.Time

	// requested holds the incarnations of the workers that the last request named.
	requested []*workerState
}

// TicketsReceived handles the answer to a ticket request.
func (s *Shard) TicketsReceived(request TicketRequest, tickets outside.Tickets, err error, now time.Time) {
	p := s.tickets[request.Step]
	if p == nil {
		return
	}
	p.requesting = false
	if err != nil {
		p.retryAt = now.Add(ticketRetryInterval)
		s.opts.LogEvent("ticket request failed", "step", request.Step, "workers", len(request.Workers), "error", err.Error())
		return
	}
	p.tickets = make(map[string]string, len(tickets.ByWorker))
	p.validUntil = now.Add(tickets.Valid - ticketExpiryMargin)
	for _, w := range p.requested {
		id := w.reg.ID
		if s.workers[id] != w {
			// The answer is about an incarnation that has ended. A denial would exclude the
			// new incarnation for good, although it may be allowed to run the step.
			continue
		}
		if ticket, good := tickets.ByWorker[id]; good {
			p.tickets[id] = ticket
		} else {
			p.denied[id] = true
		}
	}
	if len(p.tickets) == 0 {
		p.retryAt = now.Add(ticketRetryInterval)
	}
	s.opts.LogEvent("tickets received", "step", request.Step, "workers", len(request.Workers), "good", len(tickets.ByWorker))
}

// ensureTickets reports whether a step may be placed now. If the step needs tickets and has none,
// it requests them.
func (s *Shard) ensureTickets(g group, now time.Time) bool {
	if !g.job.policy.Advised {
		return true
	}
	step := g.task(0).StepName()
	p := s.tickets[step]
	if p == nil {
		p = &stepTickets{
			denied: make(map[string]bool),
		}
		s.tickets[step] = p
	}
	if now.Before(p.validUntil) && len(p.tickets) > 0 {
		return true
	}
	if !p.requesting && !now.Before(p.retryAt) && s.requesting() < maxOpenTicketRequests {
		s.request(step, p, &g.job.record.Spec.Steps[g.step], now)
	}
	return false
}

// requesting returns the number of ticket requests without an answer.
func (s *Shard) requesting() int {
	count := 0
	for _, p := range s.tickets {
		if p.requesting {
			count++
		}
	}
	return count
}

// request orders a ticket request for a step and the least loaded workers that could run it.
func (s *Shard) request(step string, p *stepTickets, spec *job.Step, now time.Time) {
	var list []*workerState
	for _, w := range s.workers {
		labelled := spec.Label == "" || hasLabel(w.reg.Labels, spec.Label)
		if !p.denied[w.reg.ID] && labelled && s.eligible(w, now) && w.reg.Capacity.Fits(spec.Charge()) {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].used.MilliCPU != list[j].used.MilliCPU {
			return list[i].used.MilliCPU < list[j].used.MilliCPU
		}
		return list[i].reg.ID < list[j].reg.ID
	})
	request := TicketRequest{
		Step: step,
	}
	p.requested = list[:min(maxRequestedWorkers, len(list))]
	for _, w := range p.requested {
		request.Workers = append(request.Workers, w.reg.ID)
	}
	p.requesting = true
	s.orders.TicketRequests = append(s.orders.TicketRequests, request)
}

// isPermitted reports whether a worker may run a task: the task needs no ticket, or the worker
// has a valid one.
func (s *Shard) isPermitted(id job.TaskID, w *workerState, now time.Time) bool {
	j := s.jobs[id.Job]
	if j == nil || !j.policy.Advised {
		return true
	}
	p := s.tickets[id.StepName()]
	if p == nil || !now.Before(p.validUntil) {
		return false
	}
	_, good := p.tickets[w.reg.ID]
	return good
}

// ticketFor returns the ticket that a start carries; empty if none is needed.
func (s *Shard) ticketFor(id job.TaskID, w *workerState) string {
	p := s.tickets[id.StepName()]
	if p == nil {
		return ""
	}
	return p.tickets[w.reg.ID]
}

// forgetWorkerTickets drops all tickets and denials of a worker. They are valid for one
// incarnation, and the next one may be a worker of another kind.
func (s *Shard) forgetWorkerTickets(worker string) {
	for _, p := range s.tickets {
		delete(p.tickets, worker)
		delete(p.denied, worker)
	}
}

// forgetJobTickets drops the tickets and denials for the steps of a job.
func (s *Shard) forgetJobTickets(j *jobState) {
	for k, o := range j.occurrences {
		for step := range o.steps {
			s.forgetStepTickets(job.TaskID{
				Job:        j.record.ID,
				Occurrence: k,
				Step:       step,
			})
		}
	}
}

// forgetStepTickets drops the tickets and denials for the step of a task.
func (s *Shard) forgetStepTickets(id job.TaskID) {
	delete(s.tickets, id.StepName())
}
