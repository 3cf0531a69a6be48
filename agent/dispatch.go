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

// dispatcher runs admitted dispatches on the endpoints.
type dispatcher struct {
	settings   *Settings
	lockedGate *lockedGate
	client     *endpointClient
	health     *health
	runs       *processRuns
	logger     *slog.Logger
	endpoints  map[string]Endpoint
	streams    streamIDs
}

func newDispatcher(s *Settings, g *lockedGate, c *endpointClient, h *health, logger *slog.Logger) *dispatcher {
	endpoints := make(map[string]Endpoint, len(s.Endpoints))
	for _, e := range s.Endpoints {
		endpoints[e.ID] = e
	}
	return &dispatcher{
		settings:   s,
		lockedGate: g,
		client:     c,
		health:     h,
		runs:       newProcessRuns(g),
		logger:     logger,
		endpoints:  endpoints,
		streams:    streamIDs{byRequest: make(map[string]string)},
	}
}

// dispatch serves one attempt: it runs the call, or delivers the outcome of its claim if the claim was
// dispatched before.
func (p *dispatcher) dispatch(d *agentv1.DispatchRequest, stream grpc.ServerStreamingServer[agentv1.DispatchResponse]) error {
	ctx := telemetry.WithAttributes(stream.Context(),
		slog.String("request_id", d.GetRequestId()), slog.String("workspace", d.GetWorkspace()),
		slog.String("endpoint", d.GetEndpoint()), slog.Uint64("attempt", uint64(d.GetAttempt())))
	ctx, span := telemetry.StartSpan(ctx, "agent", attribute.String("endpoint", d.GetEndpoint()))
	out := &sender{stream: stream, dispatch: d, incarnation: p.lockedGate.incarnation()}
	err := p.serve(ctx, d, out)
	telemetry.EndSpan(span, err)
	return err
}

func (p *dispatcher) serve(ctx context.Context, d *agentv1.DispatchRequest, out *sender) error {
	for {
		verdict := p.lockedGate.admit(d)
		switch verdict.Decision {
		case gate.Admit:
			return p.run(ctx, d, out)
		case gate.Running:
			if err := p.lockedGate.awaitClaim(ctx, d); err != nil {
				return err
			}
		case gate.Answered:
			return replay(verdict.Answer, out)
		case gate.Unknown:
			return out.broken("an earlier dispatch of this claim may have run", "")
		default:
			p.logger.InfoContext(ctx, "refused a dispatch", slog.String("kind", string(verdict.Fault.Kind)), slog.String("reason", verdict.Fault.Message))
			return out.refused(verdict.Fault, p.lockedGate.ticket())
		}
	}
}

// replay delivers the recorded answer to a claimed call.
func replay(recorded *controlv1.Answer, out *sender) error {
	if recorded.GetTruncated() {
		return out.broken("the call has run, but its answer was too large to be recorded", "")
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

// run sends the call to the endpoint and forwards its answer. The outcome is recorded before the last
// message is sent, so that a revocation that follows this message finds the outcome.
func (p *dispatcher) run(ctx context.Context, d *agentv1.DispatchRequest, out *sender) error {
	ctx, cancel := p.callContext(ctx, d)
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
		p.logger.InfoContext(ctx, "the answer of an endpoint is incomplete", slog.Any("error", err), slog.String("ended_run", ended))
		return out.broken(err.Error(), ended)
	}
}

// endedRun returns the name of the run if the endpoint's process ended during the call. It is empty
// if the endpoint still listens, or if the call was canceled or timed out on this side.
func (p *dispatcher) endedRun(ctx context.Context, endpoint string) string {
	if ctx.Err() != nil || !p.client.refusesConnections(ctx, p.endpoints[endpoint]) {
		return ""
	}
	metrics.GetOrCreateCounter(`lilackeel_agent_ended_under_call_total{endpoint="` + endpoint + `"}`).Inc()
	p.lockedGate.processEnded(endpoint)
	return p.runs.recordEnd(endpoint)
}

func countOutcome(outcome string) {
	metrics.GetOrCreateCounter(`lilackeel_agent_dispatches_total{outcome="` + outcome + `"}`).Inc()
}

func faultOf(err error) *fault.Error {
	if f := fault.As(err); f != nil {
		return f
	}
	return fault.New(fault.Internal, err.Error(), "report this as a bug, with the log of the agent")
}

// callContext returns a context with the time limit of the call. A claimed call goes on when its
// caller disconnects, so that its answer can be recorded; any other call is canceled.
func (p *dispatcher) callContext(ctx context.Context, d *agentv1.DispatchRequest) (context.Context, context.CancelFunc) {
	if d.GetClaimId() != "" {
		return context.WithTimeout(context.WithoutCancel(ctx), p.settings.ClaimLimit)
	}
	if d.GetTimeoutMs() > 0 {
		return context.WithTimeout(ctx, time.Duration(d.GetTimeoutMs())*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

// call is the state of one admitted dispatch.
type call struct {
	*dispatcher
	dispatch *agentv1.DispatchRequest
	out      *sender
	record   *recording
	length   uint64
}

// run runs the call in a span of its own. It returns the outcome, and an error if the outcome is not
// Complete.
func (c *call) run(ctx context.Context) (gate.Outcome, error) {
	e := c.endpoints[c.dispatch.GetEndpoint()]
	ctx, span := telemetry.StartSpan(ctx, "endpoint", attribute.String("endpoint", e.ID))
	outcome, err := c.send(ctx, e)
	telemetry.EndSpan(span, err)
	return outcome, err
}

func (c *call) send(ctx context.Context, e Endpoint) (gate.Outcome, error) {
	offset := c.dispatch.GetResumeOffset()
	streamID := c.streams.lookup(c.dispatch)
	if offset > 0 && (streamID == "" || e.Kind != KindEngine) {
		return gate.NotRun, errNoResume()
	}
	response, err := c.client.call(ctx, e, c.dispatch, streamID)
	c.health.recordCall(e.ID, err)
	var notSent notSentError
	if errors.As(err, &notSent) {
		return gate.NotRun, err
	}
	if err != nil {
		return gate.Incomplete, err
	}
	defer func() { _ = response.Body.Close() }()
	c.runs.recordAnswer(e.ID)
	answer := newAnswer(e, response, offset)
	if offset > 0 && response.StatusCode == http.StatusNotFound {
		return gate.NotRun, errNoResume()
	}
	if offset > 0 && !answer.resumedAt(offset) {
		return gate.Incomplete, errors.New("the engine did not confirm that it resumes at the requested offset")
	}
	return c.forward(answer)
}

func errNoResume() *fault.Error {
	return fault.New(fault.NotFound, "the stream cannot be resumed here", "retry the call from the beginning")
}

// maxAbandonedBytes is how much of the answer to a claimed call is read after its caller has
// disconnected. An endpoint in trouble may send without end.
const maxAbandonedBytes = 16 << 20

// errEndlessAnswer ends the answer to a claimed call that does not end after its caller has
// disconnected.
var errEndlessAnswer = fault.Newf(fault.Unknown, "check the endpoint", "the caller has disconnected, and more than %d bytes of the answer followed", maxAbandonedBytes)

// forward sends an answer to the caller. The answer to a claimed call is read to its end even if the
// caller has disconnected, up to maxAbandonedBytes.
func (c *call) forward(a *answer) (gate.Outcome, error) {
	streamID := a.response.Header.Get(engineapi.HeaderStreamID)
	c.streams.remember(c.dispatch.GetRequestId(), streamID)
	headers := responseHeaders(a.response.Header)
	claimed := c.dispatch.GetClaimId() != ""
	if claimed {
		c.record = newRecording(a.response.StatusCode, headers)
		a.record = c.record
	}
	sendErr := c.out.head(a.response.StatusCode, headers, streamID)
	if sendErr != nil && !claimed {
		return gate.Incomplete, sendErr
	}
	abandoned := 0
	err := a.copyTo(func(offset uint64, part []byte) error {
		if sendErr == nil {
			sendErr = c.out.chunk(offset, part)
		}
		if sendErr == nil || !claimed {
			return sendErr
		}
		abandoned += len(part)
		if abandoned > maxAbandonedBytes {
			return errEndlessAnswer
		}
		return nil
	})
	c.length = a.offset
	if err != nil {
		return gate.Incomplete, err
	}
	return gate.Complete, nil
}
