package owner

import (
	"context"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// maxSubmitWait is how long submitted jobs may wait for the loop of the duty to handle them.
// The loop first loads its rows, which takes about 0.2 s with 2000 jobs. A submission that
// is not handled in time fails with a *NotServingError, so that callers can still try another
// entry.
const maxSubmitWait = time.Second

// Stages of a submission.
const (
	stageWaiting int32 = iota

	// stageHandled means that the loop has started to handle the submission.
	stageHandled

	// stageWithdrawn means that the loop must no longer handle the submission.
	stageWithdrawn
)

// NotServingError reports that a duty did not accept a job, because it is handing over its
// service, has ended, or did not handle the submission in time. The job certainly has no
// effect there; another owner may accept it.
type NotServingError struct {
	Service string
	Reason  string
}

// RefusedError reports that a service is too busy to finish a job while it still has value.
// The job was not accepted, and no earlier attempt to submit it can take effect any more.
type RefusedError struct {
	Service string

	// RetryAfter is how long to wait before submitting the job again.
	RetryAfter time.Duration
}

// ForeignError reports that a job was not accepted because its ID is that of another organisation's
// job.
type ForeignError struct {
	Job string
}

// MovedError reports that a job was not accepted because the fence of its queue was raised since the
// job was handed in: another service may take the queue's jobs now.
type MovedError struct {
	Service string
}

// WithdrawnError reports that a job was not accepted because it was withdrawn since it was handed in.
type WithdrawnError struct {
	Job string
}

// submission is a group of jobs that are submitted together.
type submission struct {
	records []shard.Record

	// stage changes at most once, from stageWaiting to one of the other stages.
	stage atomic.Int32

	// outcomes receives at most one outcome per record; its buffer holds all of them.
	outcomes chan outcome

	// errs and answered are indexed like records. Only the goroutine that waits for the
	// outcomes uses them.
	errs     []error
	answered []bool
}

// outcome is the result for one record of a submission; err is nil if the job was accepted.
type outcome struct {
	index int
	err   error
}

// Error implements error.
func (e *NotServingError) Error() string {
	return "the owner of service " + e.Service + " does not take the job: " + e.Reason
}

// Error implements error.
func (e *ForeignError) Error() string {
	return "job " + e.Job + " belongs to another organisation"
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "service " + e.Service + " has too much to do for the job; retry after " + e.RetryAfter.String()
}

// Error implements error.
func (e *MovedError) Error() string {
	return "the queue may have moved from service " + e.Service
}

// Error implements error.
func (e *WithdrawnError) Error() string {
	return "job " + e.Job + " was withdrawn"
}

// Submit submits a single job; see SubmitAll.
func (d *Duty) Submit(ctx context.Context, record shard.Record) error {
	return d.SubmitAll(ctx, []shard.Record{record})[0]
}

// SubmitAll submits jobs to this owner, which may still be loading its rows, and returns one
// result per job: nil once its record is stored, and a *outside.NotDoneError, a
// *NotServingError, a *RefusedError, a *ForeignError, a *MovedError or a *WithdrawnError if it certainly was not accepted. After any other error
// the job may or may not have been accepted.
func (d *Duty) SubmitAll(ctx context.Context, records []shard.Record) []error {
	sub := &submission{
		records:  records,
		outcomes: make(chan outcome, len(records)),
		answered: make([]bool, len(records)),
		errs:     make([]error, len(records)),
	}
	err := d.push(func(d *Duty, now time.Time) { d.handleSubmission(sub, now) })
	if err != nil {
		return sub.fillMissing(&outside.NotDoneError{
			Call:   "handing in at the owner of " + d.service,
			Reason: err.Error(),
		})
	}
	late := d.deps.Clock.After(maxSubmitWait)
	for missing := len(records); missing > 0; {
		select {
		case o := <-sub.outcomes:
			sub.addOutcome(o)
			missing--
		case <-late:
			if sub.withdraw() {
				return sub.fillMissing(d.notServing("it has not come to it"))
			}
		case <-d.done:
			return d.stopWaiting(sub, &LostError{
				Part:   d.service,
				Reason: "the duty has ended",
			})
		case <-ctx.Done():
			return d.stopWaiting(sub, ctx.Err())
		}
	}
	return sub.errs
}

// handleSubmission passes the jobs of a submission to the shard, unless the submission was
// withdrawn.
func (d *Duty) handleSubmission(sub *submission, now time.Time) {
	if !sub.stage.CompareAndSwap(stageWaiting, stageHandled) {
		return
	}
	for i, record := range sub.records {
		refused := &outside.NotDoneError{
			Call:   "handing in at the owner of " + d.service,
			Reason: "it writes nothing now",
		}
		switch {
		case d.releasing:
			sub.outcomes <- outcome{
				index: i,
				err:   d.notServing("it hands the service over"),
			}
		case d.tenure.failing() && !d.standby.usable():
			d.core.NoteRefused(record, now)
			sub.outcomes <- outcome{
				index: i,
				err:   refused,
			}
		default:
			d.core.Submit(record, now, func(answer shard.SubmitResult) {
				o := outcome{
					index: i,
				}
				switch {
				case answer.Accepted:
				case answer.Foreign:
					o.err = &ForeignError{
						Job: record.ID,
					}
				case answer.Withdrawn:
					o.err = &WithdrawnError{
						Job: record.ID,
					}
				case answer.Moved:
					o.err = &MovedError{
						Service: d.service,
					}
				case answer.Refused:
					o.err = &RefusedError{
						Service:    d.service,
						RetryAfter: answer.RetryAfter,
					}
				case d.ended:
					o.err = d.notServing("it has ended")
				default:
					o.err = refused
				}
				sub.outcomes <- o
			})
		}
	}
}

// stopWaiting returns the results of a submission when the duty has ended or the caller no
// longer waits. It withdraws the submission if the loop has not handled it yet; otherwise jobs
// without an outcome are uncertain.
func (d *Duty) stopWaiting(sub *submission, cause error) []error {
	if sub.withdraw() {
		return sub.fillMissing(d.notServing("it has not come to it"))
	}
	// Outcomes may have been sent before the duty ended.
	for len(sub.outcomes) > 0 {
		sub.addOutcome(<-sub.outcomes)
	}
	return sub.fillMissing(&outside.UncertainError{
		Call:  "handing in at the owner of " + d.service,
		Cause: cause,
	})
}

func (d *Duty) notServing(reason string) error {
	return &NotServingError{
		Service: d.service,
		Reason:  reason,
	}
}

// end answers all submissions that still wait when the duty ends. Jobs that are not part of a
// transaction were certainly not accepted.
func (d *Duty) end() {
	d.ended = true
	d.core.RefuseSubmitted(d.deps.Clock.Now())
	d.setFigure(figureEjected, 0)
	d.setFigure(figureUnreadEnds, 0)
	d.clearLoopFigures()
	d.underWay.Close()
	close(d.done)
}

// Held returns the duty of a service that this entry owns, including one that is still loading
// its rows. Such a duty queues submitted jobs but can't answer queries yet; see Duty.
func (k *Keeper) Held(service string) (*Duty, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, found := k.held[service]
	return h.duty, found && h.duty != nil
}

// addOutcome stores the outcome of one record.
func (s *submission) addOutcome(o outcome) {
	s.errs[o.index] = o.err
	s.answered[o.index] = true
}

// fillMissing sets err for every record without an outcome and returns the results of all.
func (s *submission) fillMissing(err error) []error {
	for i, answered := range s.answered {
		if !answered {
			s.errs[i] = err
		}
	}
	return s.errs
}

// withdraw keeps the loop from handling the submission. It returns false if the loop has
// already started to.
func (s *submission) withdraw() bool {
	return s.stage.CompareAndSwap(stageWaiting, stageWithdrawn)
}
