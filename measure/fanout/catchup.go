package fanout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/link"
)

// catchUp is the cost of bringing a disconnected daemon up to date.
type catchUp struct {
	Workspaces int     `json:"workspaces"`
	Missed     int     `json:"missed_changes"`
	Millis     float64 `json:"ms"`
	Bytes      int64   `json:"bytes"`
}

// measureCatchUp stops a daemon, makes the given number of changes and measures how
// long the restarted daemon takes to apply the latest revision, including the
// confirmation that a quorum has accepted it.
func measureCatchUp(workspaces, missed int) (catchUp, error) {
	source := newPublisher()
	if err := source.addWorkspaces(workspaces); err != nil {
		return catchUp{}, err
	}
	server := feedServer(source)
	counter := &byteCounter{}
	addr, stop, err := serveFeed(server, counter)
	if err != nil {
		return catchUp{}, err
	}
	defer stop()
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		return catchUp{}, err
	}
	client := newFeedClient("daemon", zones[0], []string{addr}, options)
	if _, err := runUntilRevision(client, source.Revision()); err != nil {
		return catchUp{}, err
	}
	for i := range missed {
		if _, err := source.accept(changeIntent(i, workspaces)); err != nil {
			return catchUp{}, err
		}
	}
	before := counter.bytes.Load()
	elapsed, err := runUntilRevision(client, source.Revision())
	if err != nil {
		return catchUp{}, err
	}
	return catchUp{Workspaces: workspaces, Missed: missed, Millis: milliseconds(elapsed), Bytes: counter.bytes.Load() - before}, nil
}

// runUntilRevision runs the client until it has applied the revision, and returns
// the time that this took.
func runUntilRevision(client *feed.Client, revision uint64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for {
		changed := client.Changed()
		if view := client.Configuration(); view != nil && view.Revision >= revision {
			return time.Since(start), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// stateSize is the encoded size of the state per workspace and per endpoint, in
// bytes.
type stateSize struct {
	WorkspaceOnFeed     float64 `json:"workspace_on_feed"`
	EndpointOnFeed      float64 `json:"endpoint_on_feed"`
	WorkspaceInSnapshot float64 `json:"workspace_in_snapshot"`
	EndpointInSnapshot  float64 `json:"endpoint_in_snapshot"`
}

func measureStateSize() (stateSize, error) {
	const workspaces, agents = 2000, 250
	source := newPublisher()
	emptyFeed, emptySnapshot, err := encodedSizes(source)
	if err != nil {
		return stateSize{}, err
	}
	if err := source.addAgents(agents); err != nil {
		return stateSize{}, err
	}
	agentFeed, agentSnapshot, err := encodedSizes(source)
	if err != nil {
		return stateSize{}, err
	}
	if err := source.addWorkspaces(workspaces); err != nil {
		return stateSize{}, err
	}
	fullFeed, fullSnapshot, err := encodedSizes(source)
	if err != nil {
		return stateSize{}, err
	}
	const endpoints = agents * endpointsPerAgent
	return stateSize{
		EndpointOnFeed:      float64(agentFeed-emptyFeed) / endpoints,
		EndpointInSnapshot:  float64(agentSnapshot-emptySnapshot) / endpoints,
		WorkspaceOnFeed:     float64(fullFeed-agentFeed) / workspaces,
		WorkspaceInSnapshot: float64(fullSnapshot-agentSnapshot) / workspaces,
	}, nil
}

func encodedSizes(source *publisher) (onFeed, inSnapshot int, err error) {
	snapshot, err := source.Snapshot()
	return proto.Size(source.Configuration()), len(snapshot), err
}

func feedServer(source feed.Source) *feed.Server { return feed.NewServer(source) }

// encodeFigures returns the figures as indented JSON.
func encodeFigures(figures any) ([]byte, error) {
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode figures: %w", err)
	}
	return append(text, '\n'), nil
}
