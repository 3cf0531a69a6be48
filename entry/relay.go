package entry

import (
	"context"
	"log/slog"
	"net"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
)

// relayShare is the share of the descriptors that the daemons of the zone may use.
const relayShare = 1.0 / 8

// relay relays the entry's configuration feed to the daemons of its availability zone. It is nil
// if the entry is not a relay.
type relay struct {
	feed     *feed.Relay
	listener net.Listener
	options  []grpc.ServerOption
	logger   *slog.Logger
}

// newRelay returns the relay, nil if the settings configure none. It must be called before the
// client runs.
func newRelay(cfg Config, client *feed.Client, resources *inbound.Resources, logger *slog.Logger) (*relay, error) {
	if cfg.RelayListen == "" {
		return nil, nil
	}
	options, err := link.ServerOptions(cfg.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := link.Listen(context.Background(), cfg.RelayListen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &relay{feed: feed.NewRelay(client), listener: resources.PeerListener(listener, "relay", relayShare, logger), options: append(options, resources.PeerOptions()...), logger: logger}, nil
}

// run serves the relay until ctx ends. If the relay fails, the entry continues to serve callers,
// and the daemons that use the relay switch to their next source.
func (r *relay) run(ctx context.Context) {
	if r == nil {
		return
	}
	r.logger.Info("relaying the configuration", slog.String("address", r.listener.Addr().String()))
	if err := r.feed.Run(ctx, r.listener, r.options...); err != nil {
		r.logger.Error("relaying the configuration failed", slog.Any("error", err))
	}
}
