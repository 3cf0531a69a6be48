package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// readIntent reads and parses an intent file.
func (s *session) readIntent(name string) (*controlv1.Intent, error) {
	var data []byte
	var err error
	if name == standardInput {
		data, err = io.ReadAll(io.LimitReader(s.stdin, maxIntentFileBytes+1))
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "the intent file cannot be read", "check its path and permissions").WithCause(err)
	}
	return ParseIntent(data, s.settings.Operator)
}

func (s *session) plan(ctx context.Context) error {
	intent, err := s.readIntent(s.settings.File)
	if err != nil {
		return err
	}
	plan, err := s.client.Plan(ctx, intent)
	if err != nil {
		return err
	}
	revision := s.acceptedRevision(ctx, plan.GetIntentId())
	if err := s.print(plan, func(w io.Writer) { writePlan(w, plan, revision) }); err != nil {
		return err
	}
	if !s.settings.Yes {
		return nil
	}
	if len(plan.GetWarnings()) > 0 {
		return fault.New(fault.Conflict, "the plan has warnings and is not confirmed", "read them, then run the confirm command that is shown")
	}
	return s.confirmPlan(ctx, plan.GetIntentId(), plan.GetDigest(), cmp.Or(s.settings.Operator, intent.GetOperator()))
}

// acceptedRevision returns the revision of an intent that was accepted before; zero if
// it was not, or if that is unknown. An operator may request a plan again after the
// response to its confirmation was lost.
func (s *session) acceptedRevision(ctx context.Context, intentID string) uint64 {
	entry, err := s.findIntent(ctx, intentID)
	if err != nil {
		return 0
	}
	return entry.GetRevision()
}

func (s *session) confirm(ctx context.Context) error {
	return s.confirmPlan(ctx, s.settings.Intent, s.settings.Digest, s.settings.Operator)
}

func (s *session) confirmPlan(ctx context.Context, intentID, digest, operator string) error {
	revision, err := s.client.Confirm(ctx, &controlv1.ConfirmRequest{IntentId: intentID, Digest: digest, Operator: operator})
	if err != nil {
		return err
	}
	return s.print(&controlv1.ConfirmResponse{Revision: revision}, func(w io.Writer) {
		fmt.Fprintf(w, "intent %s is accepted as revision %d; follow it: %s watch %s\n", intentID, revision, program, intentID)
	})
}

func (s *session) cancel(ctx context.Context) error {
	request := &controlv1.CancelRequest{IntentId: s.settings.Intent, Operator: s.settings.Operator}
	if err := s.client.Cancel(ctx, request); err != nil {
		return err
	}
	return s.print(&controlv1.CancelResponse{}, func(w io.Writer) { fmt.Fprintf(w, "intent %s is cancelled\n", s.settings.Intent) })
}

func (s *session) diff(ctx context.Context) error {
	intent, err := s.readIntent(s.settings.File)
	if err != nil {
		return err
	}
	response, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	plan, err := contract.Preview(response.GetConfiguration(), intent)
	if err != nil {
		return err
	}
	return s.print(plan, func(w io.Writer) { writeChanges(w, plan) })
}

func (s *session) history(ctx context.Context) error {
	response, err := s.client.History(ctx, &controlv1.HistoryRequest{Limit: int32(min(s.settings.Limit, 1<<20))})
	if err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) { writeHistory(w, response.GetEntries()) })
}

// findIntent returns one intent from the history.
func (s *session) findIntent(ctx context.Context, intentID string) (*controlv1.HistoryEntry, error) {
	response, err := s.client.History(ctx, &controlv1.HistoryRequest{Limit: 1, IntentId: intentID})
	if err != nil {
		return nil, err
	}
	if len(response.GetEntries()) == 0 {
		return nil, fault.Newf(fault.NotFound, "run "+program+" history to list the intents that are kept", "unknown intent %s", intentID)
	}
	return response.GetEntries()[0], nil
}

func (s *session) explain(ctx context.Context) error {
	entry, err := s.findIntent(ctx, s.settings.Intent)
	if err != nil {
		return err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(entry, func(w io.Writer) { writeExplanation(w, entry, status) })
}
