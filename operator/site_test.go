package operator

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// TestConfigPrintsPublishedSite checks that routes and workspaces are printed, but no
// keys.
func TestConfigPrintsPublishedSite(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	writeConfiguration(&out, &fleetv1.Configuration{Revision: 12, Site: &fleetv1.Site{
		Version: 7, Revision: 9,
		Routes: []*fleetv1.Route{{
			Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: fleetv1.CallKind_CALL_KIND_STREAM, TimeoutMs: 8000, ObjectiveMs: 500, MaxAttempts: 2,
			Splits: []*fleetv1.Split{{Pool: "old", Weight: 9}, {Pool: "new", Weight: 1}},
		}, {Name: "file", Host: "a.example", PathPrefix: "/", Kind: fleetv1.CallKind_CALL_KIND_SINGLE, TimeoutMs: 1000, MaxAttempts: 1, Public: true, Splits: []*fleetv1.Split{{Pool: "desk", Weight: 1}}}},
		Workspaces: []*fleetv1.Workspace{{Name: "crew", Priority: proto.Int32(1), KeyDigests: []string{"secret-digest"}}},
	}})
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	is.Equal(lines[2], "Site version 7, in force as revision 9")
	is.Equal(lines[5], "chat a.example /chat/ stream old:9 new:1 8s 500ms 2 false")
	is.Equal(lines[6], "file a.example / single desk 1s none 1 true")
	is.Equal(lines[9], "crew 1 1")
	is.True(!strings.Contains(out.String(), "secret-digest"))

	out.Reset()
	writeConfiguration(&out, &fleetv1.Configuration{Revision: 12})
	is.True(!strings.Contains(out.String(), "Site")) // no site was published
}
