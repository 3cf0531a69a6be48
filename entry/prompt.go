package entry

import (
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

const (
	// promptBlockBytes is the length of the prompt text that one block of an engine's prefix cache
	// covers.
	promptBlockBytes = 64
	// bytesPerToken is the mean length of a token, from which the tokens of a text are estimated.
	bytesPerToken = 4
	// maxPromptBlocks bounds the number of blocks that are hashed to pick an endpoint.
	maxPromptBlocks = 4096
)

// completion holds the fields of a completion request that the entry evaluates.
type completion struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
}

// message is a chat message.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readCompletion parses and validates the body of a completion request.
func readCompletion(body []byte, chat bool) (*completion, *call.Verdict) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, call.Refuse(fault.Newf(fault.Invalid, "send a JSON object that conforms to the completions API",
			"the body is not a valid request: %v", err))
	}
	remedy := "send a body that conforms to the completions API"
	switch {
	case c.Model == "":
		return nil, call.Refuse(fault.New(fault.Invalid, "the body names no model", `set "model"; GET /v1/models lists the available models`))
	case c.MaxTokens < 0 || c.MaxCompletionTokens < 0:
		return nil, call.Refuse(fault.New(fault.Invalid, `"max_tokens" is negative`, remedy))
	case chat && len(c.Messages) == 0:
		return nil, call.Refuse(fault.New(fault.Invalid, `the body has no "messages"`, remedy))
	case chat && len(c.Prompt) > 0:
		return nil, call.Refuse(fault.New(fault.Invalid, `the body has both "prompt" and "messages"`, "send a prompt to /v1/completions, messages to /v1/chat/completions"))
	case !chat && len(c.Prompt) == 0:
		return nil, call.Refuse(fault.New(fault.Invalid, `the body has no "prompt"`, remedy))
	}
	return &c, nil
}

// promptText appends to text the prompt text by which the engine's prefix cache is keyed.
func (c *completion) promptText(text []byte) []byte {
	text = appendText(text, c.Prompt)
	for i := range c.Messages {
		m := &c.Messages[i]
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = appendText(text, m.Content)
		text = append(text, '\n')
	}
	return text
}

// messageIDs returns an id for each message, which is the same for equal messages.
func (c *completion) messageIDs() []string {
	ids := make([]string, 0, len(c.Messages))
	for i := range c.Messages {
		m := &c.Messages[i]
		ids = append(ids, strconv.FormatUint(xxhash.Sum64String(m.Role+"\n"+string(m.Content)), 16))
	}
	return ids
}

// appendText appends the decoded text of a JSON string, or any other value in its JSON form.
func appendText(text []byte, raw json.RawMessage) []byte {
	if len(raw) == 0 || raw[0] != '"' {
		return append(text, raw...)
	}
	var decoded string
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return append(text, raw...)
	}
	return append(text, decoded...)
}

// promptBlocks returns the chained hashes of the complete blocks of a prompt. Each hash covers its
// block and the previous hash, and thereby all blocks before it.
func promptBlocks(text []byte) []uint64 {
	blocks := make([]uint64, 0, min(len(text)/promptBlockBytes, maxPromptBlocks))
	var block [8 + promptBlockBytes]byte
	var previous uint64
	for len(text) >= promptBlockBytes && len(blocks) < maxPromptBlocks {
		binary.LittleEndian.PutUint64(block[:8], previous)
		copy(block[8:], text[:promptBlockBytes])
		previous = xxhash.Sum64(block[:])
		blocks = append(blocks, previous)
		text = text[promptBlockBytes:]
	}
	return blocks
}

// maxAnswerTokens returns the maximum answer length that the request allows, zero if it sets none.
func (c *completion) maxAnswerTokens() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}
