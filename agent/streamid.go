package agent

import (
	"net/http"
	"sync"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// maxStreamIDs bounds the streams whose ids are remembered for resuming.
const maxStreamIDs = 4096

// streamIDs remembers the engine's stream id of recent requests.
type streamIDs struct {
	mu             sync.Mutex
	byRequest      map[string]string
	insertionOrder []string
}

// of returns the stream that a dispatch resumes: named by its header, or else
// remembered from an earlier attempt of the same request.
func (s *streamIDs) lookup(d *agentv1.DispatchRequest) string {
	if d.GetResumeOffset() == 0 {
		return ""
	}
	for _, h := range d.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == engineapi.HeaderStreamID {
			return h.GetValue()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRequest[d.GetRequestId()]
}

func (s *streamIDs) remember(request, stream string) {
	if stream == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.byRequest[request]; !known {
		s.insertionOrder = append(s.insertionOrder, request)
	}
	s.byRequest[request] = stream
	if len(s.insertionOrder) > maxStreamIDs {
		delete(s.byRequest, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
}
