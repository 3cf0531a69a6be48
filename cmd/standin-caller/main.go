// Command standin-caller sends model requests and service calls to the entries of an example
// deployment and reports the results.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/standin/caller"
)

type settings struct {
	caller      caller.Caller
	chats       int
	calls       int
	callPath    string
	callBody    string
	concurrency int
	tokens      int
	timeout     time.Duration
}

func (s *settings) register(set *setting.Set) {
	set.List(&s.caller.Entries, "entries", nil, "addresses of the entries", setting.Required, setting.HostPort)
	set.Secret(&s.caller.Key, "key", "key of the workspace")
	set.String(&s.caller.Model, "model", "lilackeel-draft", "model to request")
	set.Int(&s.chats, "chats", 32, "number of streamed chat requests", setting.Min(0))
	set.Int(&s.calls, "calls", 8, "number of service calls, each sent twice with the same idempotency key", setting.Min(0))
	set.String(&s.callPath, "call-path", "", "path of the service calls")
	set.String(&s.callBody, "call-body", "{}", "body of the service calls")
	set.Int(&s.concurrency, "concurrency", 8, "maximum number of concurrent requests", setting.Min(1))
	set.Int(&s.tokens, "tokens", 16, "tokens requested by each chat request", setting.Min(1))
	set.Duration(&s.timeout, "timeout", time.Minute, "time limit of the whole run", setting.Min(time.Second))
}

func main() {
	var s settings
	set := setting.New("standin-caller")
	s.register(set)
	if code, done := set.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr); done {
		os.Exit(code)
	}
	s.caller.Client = &http.Client{}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	chats := s.run(s.chats, func(i int) (caller.Result, error) {
		return s.caller.Chat(ctx, i, fmt.Sprintf("Draft swap reply %d.", i), s.tokens)
	})
	calls := s.run(s.calls, func(i int) (caller.Result, error) { return s.callTwice(ctx, i) })
	if !chats.report("chat requests") || !calls.report("service calls, each repeated through another entry") {
		os.Exit(1)
	}
}

// callTwice sends a call through two entries with the same idempotency key. The second response
// must equal the first.
func (s *settings) callTwice(ctx context.Context, i int) (caller.Result, error) {
	key := caller.NewKey()
	first, err := s.caller.Call(ctx, i, http.MethodPost, s.callPath, []byte(s.callBody), key)
	if err != nil {
		return first, err
	}
	second, err := s.caller.Call(ctx, i+1, http.MethodPost, s.callPath, []byte(s.callBody), key)
	if err != nil {
		return second, err
	}
	if first.Complete && string(first.Body) != string(second.Body) {
		return second, fmt.Errorf("the repeated call returned %q, the first one %q", second.Body, first.Body)
	}
	return first, nil
}

// results collects the results of a number of requests.
type results struct {
	mu         sync.Mutex
	complete   int
	failed     []string
	firstBytes []time.Duration
}

// run sends n requests, up to s.concurrency at once.
func (s *settings) run(n int, send func(i int) (caller.Result, error)) *results {
	var t results
	var wg sync.WaitGroup
	slots := make(chan struct{}, s.concurrency)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			result, err := send(i)
			t.add(result, err)
		})
	}
	wg.Wait()
	return &t
}

func (t *results) add(result caller.Result, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.failed = append(t.failed, err.Error())
	case !result.Complete:
		t.failed = append(t.failed, fmt.Sprintf("status %d, outcome %s: %.200s", result.Status, result.Outcome, result.Body))
	default:
		t.complete++
		t.firstBytes = append(t.firstBytes, result.FirstByte)
	}
}

// report prints the results and returns whether all requests succeeded.
func (t *results) report(label string) bool {
	fmt.Printf("%s: %d complete, %d failed", label, t.complete, len(t.failed))
	if len(t.firstBytes) > 0 {
		slices.Sort(t.firstBytes)
		fmt.Printf("; first byte p50 %v", t.firstBytes[len(t.firstBytes)/2].Round(time.Millisecond/10))
	}
	fmt.Println()
	for _, failure := range t.failed {
		fmt.Println("  ", failure)
	}
	return len(t.failed) == 0
}
