package operator

import (
	"bytes"
	"context"
	"io"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

func (s *session) status(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) { writeStatus(w, status) })
}

func (s *session) config(ctx context.Context) error {
	answer, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return s.print(answer.GetConfiguration(), func(w io.Writer) { writeConfiguration(w, answer.GetConfiguration()) })
}

func (s *session) members(ctx context.Context) error {
	asked := s.settings.Member
	answer, err := s.client.Members(ctx, &controlv1.MembersRequest{
		AddLearner: uint64(asked.AddLearner), Addr: asked.Addr,
		Promote: uint64(asked.Promote), Remove: uint64(asked.Remove),
	})
	if err != nil {
		return err
	}
	return s.print(answer, func(w io.Writer) { writeMembers(w, answer) })
}

// watch prints the status, or how far one intent has come, whenever it changes.
// It ends when the intent is carried out or cancelled, or with ctx. Replicas
// that cannot be reached for a while do not end it.
func (s *session) watch(ctx context.Context) error {
	var shown []byte
	for {
		var text bytes.Buffer
		done, err := s.look(ctx, &text)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && decided(asFault(err)) {
			return err
		}
		if err != nil {
			text.WriteString(err.Error() + "\n")
		}
		if !bytes.Equal(shown, text.Bytes()) {
			shown = bytes.Clone(text.Bytes())
			if _, err := s.stdout.Write(shown); err != nil {
				return fault.New(fault.Internal, "the output cannot be written", "check where it goes").WithCause(err)
			}
		}
		if done {
			return nil
		}
		if !pause(ctx, s.settings.Interval) {
			return ctx.Err()
		}
	}
}

// summary prints the status without what changes all the time.
func (s *session) summary(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) {
		writeRevision(w, status)
		for _, progress := range status.GetIntents() {
			writeProgress(w, progress)
		}
	})
}

// look prints the present state to w and reports whether there is nothing more
// to wait for.
func (s *session) look(ctx context.Context, w io.Writer) (done bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	printer := &session{settings: s.settings, client: s.client, stdout: w}
	if s.settings.Intent == "" {
		return false, printer.summary(bounded)
	}
	entry, err := s.find(bounded, s.settings.Intent)
	if err != nil {
		return false, err
	}
	status, err := s.client.Status(bounded)
	if err != nil {
		return false, err
	}
	ended := entry.GetState() == controlv1.IntentState_INTENT_STATE_DONE ||
		entry.GetState() == controlv1.IntentState_INTENT_STATE_CANCELLED
	progress := progressOf(entry, status)
	return ended, printer.print(progress, func(w io.Writer) { writeProgress(w, progress) })
}

// progressOf returns how far an intent has come.
func progressOf(entry *controlv1.HistoryEntry, status *controlv1.StatusResponse) *controlv1.IntentProgress {
	for _, progress := range status.GetIntents() {
		if progress.GetIntentId() == entry.GetIntent().GetId() {
			return progress
		}
	}
	return &controlv1.IntentProgress{
		IntentId: entry.GetIntent().GetId(), State: entry.GetState(), Revision: entry.GetRevision(),
	}
}
