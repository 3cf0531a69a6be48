package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// route, service and limits are the parts of a configuration that the cases use.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeoutMs"`
	TargetLatencyMS int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	StreamResume    bool   `json:"streamResume,omitempty"`
	TargetGapMS     int    `json:"targetGapMs,omitempty"`
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

// usualLimits are those of the pages' example.
var usualLimits = limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}

// platformClient opens a new channel for each call.
var platformClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// controlAddress returns the address of a control machine for the operator and the servers.
func controlAddress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

// publish sends a configuration to one of the machines after the other, with increasing pauses, until one
// acknowledges it or ctx ends. It reports whether it was acknowledged.
func publish(ctx context.Context, r *record, controls []*machine, c *configuration) bool {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	pause, last := 50*time.Millisecond, ""
	for attempt := 1; ctx.Err() == nil; attempt++ {
		m := controls[rand.IntN(len(controls))]
		status, text := call(ctx, http.MethodPut, "http://"+controlAddress(m)+"/lilackeel/config", body)
		outcome := fmt.Sprintf("%s answers %d %.120s", m.name, status, text)
		if outcome != last || status == http.StatusOK {
			r.add("configuration %d, call %d: %s", c.Version, attempt, outcome)
		}
		last = outcome
		if status == http.StatusOK {
			return true
		}
		if status >= 400 && status < 500 {
			return false
		}
		sleep(ctx, pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// call makes one call and returns its status, or 0 without a response, and the body or the error.
func call(ctx context.Context, method, url string, body []byte) (status int, text string) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := platformClient.Do(request)
	if err != nil {
		return 0, "(no response)"
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "(response cut)"
	}
	return response.StatusCode, string(bytes.TrimSpace(read))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
