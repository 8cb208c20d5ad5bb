package once

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/member"
)

const (
	// claimPatience bounds the wait for a partition to get a home.
	claimPatience = time.Second

	// claimPause is the wait between two tries of a claim.
	claimPause = 25 * time.Millisecond

	// claimSilence is how long a home that did not answer is not asked again:
	// a request that waits for it holds a place that others could use.
	claimSilence = time.Second

	// claimTimeout bounds one try of a claim at another entry.
	claimTimeout = 500 * time.Millisecond
)

// Claim is the message that asks a home for an identity.
type Claim struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// ClaimAnswer is the answer to a Claim.
type ClaimAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
}

// Claims asks homes for identities, here or at another entry.
type Claims struct {
	homes *Homes

	// home returns where the home of a partition is, if another entry is it.
	home      func(partition int) (netip.AddrPort, bool)
	transport *member.Transport
	log       *slog.Logger

	mu sync.Mutex

	// silent maps the address of a home that did not answer to when it may be
	// asked again.
	silent map[netip.AddrPort]time.Time
}

// SilentError reports a home that did not answer a moment ago.
type SilentError struct {
	Address netip.AddrPort
}

// UnclaimedError reports an identity that this entry may not run, and that an
// earlier attempt may have run.
type UnclaimedError struct {
	Verdict Verdict

	// RetryAfter is when another attempt makes sense; 0 means never.
	RetryAfter time.Duration

	// Cause is set when the home did not answer.
	Cause error
}

// NewClaims returns the claims of an entry and answers those of its peers.
func NewClaims(homes *Homes, home func(partition int) (netip.AddrPort, bool), t *member.Transport, log *slog.Logger) *Claims {
	c := &Claims{
		homes:     homes,
		home:      home,
		transport: t,
		log:       log,
		silent:    make(map[netip.AddrPort]time.Time),
	}
	t.Handle(member.KindClaim, c.handleClaim)
	t.Handle(member.KindRelease, c.handleRelease)
	return c
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("home at %s did not answer a moment ago", e.Address)
}

// Error implements error.
func (e *UnclaimedError) Error() string {
	switch e.Verdict {
	case Duplicate:
		return "another attempt of this request was let through; it may have run"
	case NotCovered:
		return "the identity is older than its home remembers, or its time of issue lies ahead; it may have run"
	default:
		return fmt.Sprintf("the home of the identity did not answer; it may have run (%v)", e.Cause)
	}
}

// Unwrap returns the cause.
func (e *UnclaimedError) Unwrap() error {
	return e.Cause
}

// Claim asks for the right to run the identity once. It returns nil when this
// attempt may run it, or an *UnclaimedError.
func (c *Claims) Claim(ctx context.Context, key Key, attempt string) error {
	asking, cancel := context.WithTimeout(ctx, claimPatience)
	defer cancel()
	verdict, cause := c.ask(asking, key, attempt)
	for cause == nil && verdict == NotHome && clock.Sleep(asking, claimPause) {
		verdict, cause = c.ask(asking, key, attempt)
	}
	if verdict == Granted && cause == nil {
		return nil
	}
	refused := &UnclaimedError{
		Verdict:    verdict,
		RetryAfter: time.Second,
		Cause:      cause,
	}
	if verdict == Duplicate || verdict == NotCovered {
		refused.RetryAfter = 0
	}
	return refused
}

// Release gives back a grant whose attempt certainly did not run.
func (c *Claims) Release(ctx context.Context, key Key, attempt string) {
	if c.homes.Release(key, attempt) {
		return
	}
	address, found := c.home(key.Partition())
	if !found {
		return
	}
	calling, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if _, err := c.call(calling, address, member.KindRelease, key, attempt); err != nil {
		c.log.Debug("grant not given back", "error", err)
	}
}

// ask asks the home once.
func (c *Claims) ask(ctx context.Context, key Key, attempt string) (Verdict, error) {
	if verdict := c.homes.Claim(key, attempt); verdict != NotHome {
		return verdict, nil
	}
	address, found := c.home(key.Partition())
	if !found {
		return NotHome, nil
	}
	if c.isSilent(address) {
		return NotHome, &SilentError{
			Address: address,
		}
	}
	calling, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := c.call(calling, address, member.KindClaim, key, attempt)
	if err != nil {
		// A caller who left says nothing about the home.
		if ctx.Err() == nil {
			c.noteSilent(address)
		}
		return NotHome, err
	}
	decoded, err := member.Decode[ClaimAnswer](answer)
	return decoded.Verdict, err
}

func (c *Claims) call(ctx context.Context, to netip.AddrPort, kind member.Kind, key Key, attempt string) ([]byte, error) {
	body, err := member.Encode(Claim{
		Key:     key,
		Attempt: attempt,
	})
	if err != nil {
		return nil, err
	}
	return c.transport.Call(ctx, to, kind, body)
}

func (c *Claims) isSilent(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, noted := c.silent[address]
	if noted && time.Now().After(until) {
		delete(c.silent, address)
		return false
	}
	return noted
}

func (c *Claims) noteSilent(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[address] = time.Now().Add(claimSilence)
}

func (c *Claims) handleClaim(_ context.Context, body []byte) ([]byte, error) {
	claim, err := member.Decode[Claim](body)
	if err != nil {
		return nil, err
	}
	return member.Encode(ClaimAnswer{
		Verdict: c.homes.Claim(claim.Key, claim.Attempt),
	})
}

func (c *Claims) handleRelease(_ context.Context, body []byte) ([]byte, error) {
	claim, err := member.Decode[Claim](body)
	if err != nil {
		return nil, err
	}
	c.homes.Release(claim.Key, claim.Attempt)
	return nil, nil
}
