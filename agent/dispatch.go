package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/telemetry"
)

// dispatcher runs dispatches on endpoints.
type dispatcher struct {
	settings   *Settings
	lockedGate *lockedGate
	client     *endpointClient
	health     *health
	runs       *runs
	logger     *slog.Logger
	endpoints  map[string]Endpoint
	streams    streamIDs
}

func newDispatcher(s *Settings, k *lockedGate, c *endpointClient, h *health, logger *slog.Logger) *dispatcher {
	endpoints := make(map[string]Endpoint, len(s.Endpoints))
	for _, e := range s.Endpoints {
		endpoints[e.ID] = e
	}
	return &dispatcher{
		settings:   s,
		lockedGate: k,
		client:     c,
		health:     h,
		runs:       newRuns(k),
		logger:     logger,
		endpoints:  endpoints,
		streams:    streamIDs{byRequest: make(map[string]string)},
	}
}

// dispatch runs one attempt, or repeats what is known of a claim.
func (p *dispatcher) dispatch(d *agentv1.DispatchRequest, stream grpc.ServerStreamingServer[agentv1.DispatchResponse]) error {
	ctx := telemetry.WithAttributes(stream.Context(),
		slog.String("request_id", d.GetRequestId()), slog.String("workspace", d.GetWorkspace()),
		slog.String("endpoint", d.GetEndpoint()), slog.Uint64("attempt", uint64(d.GetAttempt())))
	ctx, span := telemetry.StartSpan(ctx, "agent", attribute.String("endpoint", d.GetEndpoint()))
	out := &sender{stream: stream, dispatch: d, incarnation: p.lockedGate.incarnation()}
	err := p.decide(ctx, d, out)
	telemetry.EndSpan(span, err)
	return err
}

func (p *dispatcher) decide(ctx context.Context, d *agentv1.DispatchRequest, out *sender) error {
	for {
		verdict := p.lockedGate.admit(d)
		switch verdict.Decision {
		case gate.Admit:
			return p.run(ctx, d, out)
		case gate.Running:
			if err := p.lockedGate.awaitEnd(ctx, d); err != nil {
				return err
			}
		case gate.Answered:
			return repeat(verdict.Answer, out)
		case gate.Unknown:
			return out.broken("an earlier dispatch of this claim may have run", "")
		default:
			p.logger.InfoContext(ctx, "refused a dispatch", slog.String("kind", string(verdict.Fault.Kind)), slog.String("reason", verdict.Fault.Message))
			return out.refused(verdict.Fault, p.lockedGate.ticket())
		}
	}
}

// repeat delivers the recorded answer of a claimed call.
func repeat(recorded *controlv1.Answer, out *sender) error {
	if recorded.GetTruncated() {
		return out.broken("the call has run; its answer was too large to be kept", "")
	}
	if err := out.head(int(recorded.GetStatus()), recorded.GetHeaders(), ""); err != nil {
		return err
	}
	if len(recorded.GetBody()) > 0 {
		if err := out.chunk(0, recorded.GetBody()); err != nil {
			return err
		}
	}
	return out.end(uint64(len(recorded.GetBody())))
}

// run asks the endpoint and passes its answer on. The outcome is recorded
// before the last message is sent, so that a revocation that follows the
// message finds it.
func (p *dispatcher) run(ctx context.Context, d *agentv1.DispatchRequest, out *sender) error {
	ctx, cancel := p.limit(ctx, d)
	defer cancel()
	call := &call{dispatcher: p, dispatch: d, out: out}
	outcome, err := call.run(ctx)
	p.lockedGate.finish(d, outcome, call.record.message())
	switch outcome {
	case gate.Complete:
		countOutcome("answered")
		return out.end(call.length)
	case gate.NotRun:
		countOutcome("not_run")
		return out.refused(faultOf(err), p.lockedGate.ticket())
	default:
		countOutcome("broken")
		ended := p.endedRun(ctx, d.GetEndpoint())
		p.logger.InfoContext(ctx, "the answer of an endpoint is not whole", slog.Any("error", err), slog.String("ended_run", ended))
		return out.broken(err.Error(), ended)
	}
}

// endedRun names the run of an endpoint's process that has ended under a call; empty if the
// endpoint still listens, or the call was ended from this side.
func (p *dispatcher) endedRun(ctx context.Context, endpoint string) string {
	if ctx.Err() != nil || !p.client.refuses(ctx, p.endpoints[endpoint]) {
		return ""
	}
	metrics.GetOrCreateCounter(`lilackeel_agent_ended_under_call_total{endpoint="` + endpoint + `"}`).Inc()
	p.lockedGate.ended(endpoint)
	return p.runs.end(endpoint)
}

func countOutcome(outcome string) {
	metrics.GetOrCreateCounter(`lilackeel_agent_dispatches_total{outcome="` + outcome + `"}`).Inc()
}

func faultOf(err error) *fault.Error {
	if f := fault.As(err); f != nil {
		return f
	}
	return fault.New(fault.Internal, err.Error(), "report the defect with the log of the agent")
}

// limit bounds a call in time. A claimed call goes on when its caller leaves,
// so that its answer can be recorded; any other ends with its caller.
func (p *dispatcher) limit(ctx context.Context, d *agentv1.DispatchRequest) (context.Context, context.CancelFunc) {
	if d.GetClaimId() != "" {
		return context.WithTimeout(context.WithoutCancel(ctx), p.settings.ClaimLimit)
	}
	if d.GetTimeoutMs() > 0 {
		return context.WithTimeout(ctx, time.Duration(d.GetTimeoutMs())*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

// call is one admitted dispatch.
type call struct {
	*dispatcher
	dispatch *agentv1.DispatchRequest
	out      *sender
	record   *recording
	length   uint64
}

// run returns how the call ended, and why if it is not whole.
func (c *call) run(ctx context.Context) (gate.Outcome, error) {
	e := c.endpoints[c.dispatch.GetEndpoint()]
	ctx, span := telemetry.StartSpan(ctx, "endpoint", attribute.String("endpoint", e.ID))
	outcome, err := c.ask(ctx, e)
	telemetry.EndSpan(span, err)
	return outcome, err
}

func (c *call) ask(ctx context.Context, e Endpoint) (gate.Outcome, error) {
	offset := c.dispatch.GetResumeOffset()
	streamID := c.streams.of(c.dispatch)
	if offset > 0 && (streamID == "" || e.Kind != KindEngine) {
		return gate.NotRun, errNoResume()
	}
	response, err := c.client.call(ctx, e, c.dispatch, streamID)
	c.health.noteCall(e.ID, err)
	var unasked notAsked
	if errors.As(err, &unasked) {
		return gate.NotRun, err
	}
	if err != nil {
		return gate.Incomplete, err
	}
	defer func() { _ = response.Body.Close() }()
	c.runs.answered(e.ID)
	answer := newAnswer(e, response, offset)
	if offset > 0 && response.StatusCode == http.StatusNotFound {
		return gate.NotRun, errNoResume()
	}
	if offset > 0 && !answer.resumed(offset) {
		return gate.Incomplete, errors.New("the engine did not resume at the offset")
	}
	return c.pass(answer)
}

func errNoResume() *fault.Error {
	return fault.New(fault.NotFound, "the stream cannot be resumed here", "start the call again from the beginning")
}

// pass passes an answer on to the caller. A claimed call is read to its end
// even if the caller has left.
func (c *call) pass(a *answer) (gate.Outcome, error) {
	streamID := a.response.Header.Get(engineapi.HeaderStreamID)
	c.streams.remember(c.dispatch.GetRequestId(), streamID)
	headers := answerHeaders(a.response.Header)
	claimed := c.dispatch.GetClaimId() != ""
	if claimed {
		c.record = newRecording(a.response.StatusCode, headers)
		a.record = c.record
	}
	lost := c.out.head(a.response.StatusCode, headers, streamID)
	if lost != nil && !claimed {
		return gate.Incomplete, lost
	}
	err := a.copyTo(func(offset uint64, part []byte) error {
		if lost == nil {
			lost = c.out.chunk(offset, part)
		}
		if claimed {
			return nil
		}
		return lost
	})
	c.length = a.offset
	if err != nil {
		return gate.Incomplete, err
	}
	return gate.Complete, nil
}
