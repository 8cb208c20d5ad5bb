package main

import (
	"context"

	"lemonstream.dev/lemonstream/control"
)

// apply carries out a verb on the plan that args name.
func (s *session) apply(ctx context.Context, args []string, verb control.Verb) error {
	client, err := s.clientForOne(args)
	if err != nil {
		return err
	}
	plan, err := client.Apply(ctx, args[0], verb, s.operator)
	if err != nil {
		return err
	}
	return s.printPlan(plan)
}
