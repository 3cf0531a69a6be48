package operator

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/lilackeel/lilackeel/fault"
)

// errorReport is the JSON form of an error, printed with -o json.
type errorReport struct {
	Kind         fault.Kind `json:"kind"`
	Message      string     `json:"message"`
	Remedy       string     `json:"remedy,omitempty"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	Cause        string     `json:"cause,omitempty"`
}

func errorJSON(err error) errorReport {
	typed := fault.As(err)
	if typed == nil {
		return errorReport{Kind: fault.Internal, Message: err.Error()}
	}
	reported := errorReport{
		Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy,
		RetryAfterMS: typed.RetryAfter.Milliseconds(),
	}
	if typed.Cause != nil {
		reported.Cause = typed.Cause.Error()
	}
	return reported
}

// writeJSON prints an error report on one line.
func writeJSON(w io.Writer, value errorReport) {
	data, err := json.Marshal(value)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintf(w, "%s\n", data)
}
