package agent

import (
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// sender sends the responses to one dispatch. Each carries the request id, the attempt and the
// incarnation of the agent.
type sender struct {
	stream      grpc.ServerStreamingServer[agentv1.DispatchResponse]
	dispatch    *agentv1.DispatchRequest
	incarnation uint64
}

func (s *sender) newResponse() *agentv1.DispatchResponse {
	return &agentv1.DispatchResponse{
		RequestId:   s.dispatch.GetRequestId(),
		Attempt:     s.dispatch.GetAttempt(),
		Incarnation: s.incarnation,
	}
}

func (s *sender) refused(f *fault.Error, ticket int64) error {
	metrics.GetOrCreateCounter(`lilackeel_agent_refused_total{kind="` + string(f.Kind) + `"}`).Inc()
	message := s.newResponse()
	message.Kind = &agentv1.DispatchResponse_Refused{Refused: &agentv1.Refused{
		Kind:         string(f.Kind),
		Message:      f.Message,
		Remedy:       f.Remedy,
		RetryAfterMs: f.RetryAfter.Milliseconds(),
		TicketNs:     ticket,
	}}
	return s.stream.Send(message)
}

func (s *sender) head(status int, headers []*controlv1.Header, streamID string) error {
	message := s.newResponse()
	message.Kind = &agentv1.DispatchResponse_Head{Head: &agentv1.Head{
		Status: int32(status), Headers: headers, StreamId: streamID,
	}}
	return s.stream.Send(message)
}

func (s *sender) chunk(offset uint64, part []byte) error {
	message := s.newResponse()
	message.Kind = &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Offset: offset, Data: part}}
	return s.stream.Send(message)
}

func (s *sender) end(length uint64) error {
	message := s.newResponse()
	message.Kind = &agentv1.DispatchResponse_End{End: &agentv1.End{Length: length}}
	return s.stream.Send(message)
}

func (s *sender) broken(text, endedRun string) error {
	message := s.newResponse()
	message.Kind = &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true, Message: text, EndedRun: endedRun}}
	return s.stream.Send(message)
}
