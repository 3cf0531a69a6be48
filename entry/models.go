package entry

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/quarantine"
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, true) }

func (s *Server) serveText(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, false) }

// serveCompletion handles a completion request. Completions may run more than once.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	q, v := s.parseHeaders(r, requestID(r))
	if v == nil {
		defer q.releaseBody()
		v = s.parseCompletion(q, w, r, chat)
	}
	if v != nil {
		s.refuse(w, r, v)
		return
	}
	s.run(w, r, q)
}

func (s *Server) parseCompletion(q *request, w http.ResponseWriter, r *http.Request, chat bool) *call.Verdict {
	if v := s.readBody(w, r, q); v != nil {
		return v
	}
	c, v := readCompletion(q.body, chat)
	if v != nil {
		return v
	}
	target, f := q.directory.resolveModel(c.Model, q.workspace)
	if f != nil {
		return call.Refuse(f)
	}
	q.parts = quarantine.NewParts(target.model.GetPool(), q.workspace.GetName(), c.messageIDs())
	text := c.promptText(nil)
	tokens := len(text)/bytesPerToken + 1
	q.kind = "completions"
	q.stream = c.Stream
	q.repeatable = true
	q.work = load.Work{PromptTokens: tokens, MaxTokens: c.maxAnswerTokens()}
	q.pick = pick.Request{
		Pool: target.model.GetPool(), Model: target.model.GetName(), Adapter: target.adapter, Version: target.model.GetVersion(),
		Prompt: promptBlocks(text), PromptTokens: tokens, MaxTokens: c.maxAnswerTokens(),
	}
	return nil
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Parent is the model that an adapter belongs to.
	Parent string `json:"parent,omitempty"`
}

// serveModels lists the models and adapters that the workspace may call.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	q, v := s.parseHeaders(r, requestID(r))
	if v != nil {
		s.refuse(w, r, v)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name, model := range q.directory.models {
		if !mayCall(q.workspace, name, model.GetPool()) {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: model.GetPool()})
		for _, adapter := range model.GetAdapters() {
			list.Data = append(list.Data, modelItem{ID: name + ":" + adapter, Object: "model", OwnedBy: model.GetPool(), Parent: name})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	w.Header().Set(headerContentType, "application/json")
	w.Header().Set(call.HeaderOutcome, call.Answered.String())
	_ = json.NewEncoder(w).Encode(list)
	s.metrics.recordAnswered("models")
}
