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
	response, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return s.print(response.GetConfiguration(), func(w io.Writer) { writeConfiguration(w, response.GetConfiguration()) })
}

func (s *session) members(ctx context.Context) error {
	member := s.settings.Member
	response, err := s.client.Members(ctx, &controlv1.MembersRequest{
		AddLearner: uint64(member.AddLearner), Addr: member.Addr,
		Promote: uint64(member.Promote), Remove: uint64(member.Remove),
	})
	if err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) { writeMembers(w, response) })
}

// watch prints the status, or the progress of one intent, whenever it changes. It
// returns when the intent is done or cancelled, or when ctx ends. It continues while
// replicas are temporarily unreachable.
func (s *session) watch(ctx context.Context) error {
	var printed []byte
	for {
		var text bytes.Buffer
		done, err := s.poll(ctx, &text)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && isFinal(asFaultError(err)) {
			return err
		}
		if err != nil {
			text.WriteString(err.Error() + "\n")
		}
		if !bytes.Equal(printed, text.Bytes()) {
			printed = bytes.Clone(text.Bytes())
			if _, err := s.stdout.Write(printed); err != nil {
				return fault.New(fault.Internal, "the output cannot be written", "check the destination of standard output").WithCause(err)
			}
		}
		if done {
			return nil
		}
		if !sleep(ctx, s.settings.Interval) {
			return ctx.Err()
		}
	}
}

// printOverview prints the status without the figures that change at every poll, such as the time since
// a daemon was last heard from.
func (s *session) printOverview(ctx context.Context) error {
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

// poll prints the current state to w and reports whether the watched intent is done
// or cancelled.
func (s *session) poll(ctx context.Context, w io.Writer) (done bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	printer := &session{settings: s.settings, client: s.client, stdout: w}
	if s.settings.Intent == "" {
		return false, printer.printOverview(bounded)
	}
	entry, err := s.findIntent(bounded, s.settings.Intent)
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

// progressOf returns the progress of an intent.
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
