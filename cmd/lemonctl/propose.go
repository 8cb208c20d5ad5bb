package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"

	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/operate"
)

// parsePoolCount reads a pool and a count of instances.
func parsePoolCount(args []string) (string, int, error) {
	if len(args) != 2 {
		return "", 0, flag.ErrHelp
	}
	count, err := strconv.Atoi(args[1])
	if err != nil || count < 1 {
		return "", 0, &usageError{
			reason: fmt.Sprintf("%q is not a count of instances", args[1]),
		}
	}
	return args[0], count, nil
}

// parseScope reads the set of instances that a command is about.
func parseScope(args []string) (intent.Scope, string, error) {
	if len(args) == 1 && args[0] == string(intent.ScopeAll) {
		return intent.ScopeAll, "", nil
	}
	if len(args) != 2 {
		return "", "", flag.ErrHelp
	}
	scope := intent.Scope(args[0])
	known := []intent.Scope{intent.ScopeInstance, intent.ScopePool, intent.ScopeRack, intent.ScopeZone}
	if !slices.Contains(known, scope) {
		return "", "", &usageError{
			reason: fmt.Sprintf("%q is none of %v", args[0], known),
		}
	}
	return scope, args[1], nil
}

// propose asks for the plan and shows it with the command that confirms it.
func (s *session) propose(ctx context.Context, i intent.Intent) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	i.Operator = s.operator
	plan, err := client.Propose(ctx, i)
	if err != nil {
		return err
	}
	if err := s.printPlan(plan); err != nil {
		return err
	}
	if s.output == "table" {
		fmt.Fprintf(s.out, "\nNothing has changed. To carry it out: lemonctl confirm %s %s\n", plan.ID, plan.Digest)
	}
	return nil
}

// printPlan shows a plan whole.
func (s *session) printPlan(plan operate.PlanAnswer) error {
	rows := [][]string{
		{"plan", plan.ID},
		{"intent", plan.Intent.String()},
		{"operator", plan.Intent.Operator},
		{"state", string(plan.State)},
		{"digest", plan.Digest},
		{"moves", strconv.Itoa(plan.Cost.Moves)},
		{"buffer cost", strconv.Itoa(plan.Cost.BufferCost) + " instances"},
		{"roll-out time", plan.Cost.RollOut().String() + " expected"},
		{"progress", fmt.Sprintf("%d of %d", plan.Done, plan.Total)},
	}
	if plan.Reason != "" {
		rows = append(rows, []string{"reason", plan.Reason})
	}
	for pool, least := range plan.Budgets {
		rows = append(rows, []string{"budget of " + pool, fmt.Sprintf("at least %d available", least)})
	}
	for _, line := range plan.Describe() {
		rows = append(rows, []string{"", line})
	}
	return s.print(plan, []string{"FIELD", "VALUE"}, rows)
}
