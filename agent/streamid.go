package agent

import (
	"net/http"
	"sync"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// maxStreamIDs is the maximum number of requests whose stream ids are kept for resuming.
const maxStreamIDs = 4096

// streamIDs maps recent requests to the stream ids that engines assigned to them. The oldest are
// evicted first.
type streamIDs struct {
	mu             sync.Mutex
	byRequest      map[string]string
	insertionOrder []string
}

// lookup returns the id of the stream that a dispatch resumes: from the dispatch's headers, or else
// as recorded for an earlier attempt of the same request. It is empty if there is none.
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
