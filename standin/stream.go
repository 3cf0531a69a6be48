package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
)

const (
	// defaultTokens is the length of a response if the request does not set max_tokens.
	defaultTokens = 16
	// maxStreams bounds the number of responses kept for resumption.
	maxStreams = 1024
	// eventEnd terminates a server-sent event.
	eventEnd = "\n\n"
)

// streams stores response bodies so that interrupted responses can be resumed.
type streams struct {
	mu     sync.Mutex
	next   int
	ids    []string
	bodies map[string][]byte
}

// open returns the stream ID of the response and its events from offset on. A request with an
// ID resumes that stream; the last result is false if the stream or the offset is unknown.
func (s *streams) open(request completionRequest, path, id string, offset int) (string, [][]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" {
		body, known := s.bodies[id]
		if !known || offset < 0 || offset > len(body) {
			return "", nil, false
		}
		return id, splitEvents(body[offset:]), true
	}
	s.next++
	id = fmt.Sprintf("stream-%d", s.next)
	body := responseBody(request, path, id)
	s.bodies[id] = body
	s.ids = append(s.ids, id)
	if len(s.ids) > maxStreams {
		delete(s.bodies, s.ids[0])
		s.ids = s.ids[1:]
	}
	return id, splitEvents(body), true
}

// splitEvents splits a body after each event.
func splitEvents(body []byte) [][]byte {
	events := bytes.SplitAfter(body, []byte(eventEnd))
	if last := len(events) - 1; len(events[last]) == 0 {
		events = events[:last]
	}
	return events
}

// responseBody builds the complete response. Its tokens repeat the first words of the prompt,
// so that callers can recognize the response to their own request.
func responseBody(request completionRequest, path, id string) []byte {
	words := responseTokens(request)
	chat := strings.HasSuffix(path, "/chat/completions")
	if !request.Stream {
		return encode(newCompletion(request, chat, id, strings.Join(words, ""), "stop"))
	}
	var body bytes.Buffer
	for _, word := range words {
		fmt.Fprintf(&body, "data: %s%s", encode(newCompletion(request, chat, id, word, "")), eventEnd)
	}
	body.WriteString("data: [DONE]" + eventEnd)
	return body.Bytes()
}

func responseTokens(request completionRequest) []string {
	prompt := strings.Fields(request.prompt())
	words := make([]string, request.MaxTokens)
	for i := range words {
		words[i] = fmt.Sprintf("w%d ", i)
		if i < len(prompt) {
			words[i] = prompt[i] + " "
		}
	}
	return words
}

// OpenAI response types.
type (
	completionResponse struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index        int      `json:"index"`
		Text         string   `json:"text,omitempty"`
		Message      *message `json:"message,omitempty"`
		Delta        *message `json:"delta,omitempty"`
		FinishReason string   `json:"finish_reason,omitempty"`
	}
	message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
)

func newCompletion(request completionRequest, chat bool, id, text, finish string) completionResponse {
	response := completionResponse{ID: id, Object: "text_completion", Model: request.Model}
	c := choice{FinishReason: finish}
	switch {
	case !chat:
		c.Text = text
	case request.Stream:
		response.Object = "chat.completion.chunk"
		c.Delta = &message{Content: text}
	default:
		response.Object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	}
	if !request.Stream {
		response.Usage = &usage{PromptTokens: len(strings.Fields(request.prompt())), CompletionTokens: request.MaxTokens}
	}
	response.Choices = []choice{c}
	return response
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		return []byte(err.Error())
	}
	return text
}
