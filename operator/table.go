package operator

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// table writes rows with aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(w io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

func (t table) flush() { t.writer.Flush() }

// enumLabel formats an enum value such as INTENT_STATE_DONE as done.
func enumLabel(value fmt.Stringer, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(value.String(), prefix))
}

func intentState(state controlv1.IntentState) string { return enumLabel(state, "INTENT_STATE_") }

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }

// writePlan prints a plan and how to proceed. revision is that of an intent that was
// accepted before, otherwise zero.
func writePlan(w io.Writer, plan *controlv1.Plan, revision uint64) {
	fmt.Fprintf(w, "Plan of intent %s at revision %d\n\n", plan.GetIntentId(), plan.GetBaseRevision())
	writeChanges(w, plan)
	if revision > 0 {
		fmt.Fprintf(w, "\nThis intent was accepted before, as revision %d. There is nothing to confirm.\n", revision)
		return
	}
	fmt.Fprintf(w, "\nNothing has happened yet. To accept this plan:\n  %s confirm %s %s\n",
		program, plan.GetIntentId(), plan.GetDigest())
}

// writeChanges prints the changes and warnings of a plan.
func writeChanges(w io.Writer, plan *controlv1.Plan) {
	if len(plan.GetChanges()) == 0 {
		fmt.Fprintln(w, "No changes.")
	}
	for _, change := range plan.GetChanges() {
		fmt.Fprintf(w, "  %s  %s%s\n", actionSymbol(change.GetAction()), change.GetText(), drainNote(change))
	}
	fmt.Fprintf(w, "\nConcurrent requests: %d before, %d after\n", plan.GetCapacityBefore(), plan.GetCapacityAfter())
	for _, warning := range plan.GetWarnings() {
		fmt.Fprintf(w, "Warning: %s\n", warning)
	}
}

func actionSymbol(action string) string {
	switch action {
	case "create":
		return "+"
	case "remove":
		return "-"
	}
	return "~"
}

func drainNote(change *controlv1.Change) string {
	if change.GetDrains() {
		return " (waits for requests in flight)"
	}
	return ""
}

func writeHistory(w io.Writer, entries []*controlv1.HistoryEntry) {
	t := newTable(w, "INTENT", "STATE", "REVISION", "OPERATOR", "CONFIRMED BY", "CHANGES", "COMMENT")
	for _, entry := range entries {
		intent := entry.GetIntent()
		t.row(intent.GetId(), intentState(entry.GetState()), formatUint(entry.GetRevision()), intent.GetOperator(),
			entry.GetConfirmedBy(), strconv.Itoa(len(entry.GetPlan().GetChanges())), firstLine(intent.GetComment()))
	}
	t.flush()
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return strings.ReplaceAll(line, "\t", " ")
}

func writeExplanation(w io.Writer, entry *controlv1.HistoryEntry, status *controlv1.StatusResponse) {
	intent := entry.GetIntent()
	fmt.Fprintf(w, "Intent %s of operator %s is %s\n", intent.GetId(), intent.GetOperator(), intentState(entry.GetState()))
	if intent.GetComment() != "" {
		fmt.Fprintf(w, "  %s\n", intent.GetComment())
	}
	fmt.Fprintf(w, "Planned at revision %d, digest %s\n", entry.GetPlan().GetBaseRevision(), entry.GetPlan().GetDigest())
	if entry.GetConfirmedBy() != "" {
		fmt.Fprintf(w, "Confirmed by %s as revision %d\n", entry.GetConfirmedBy(), entry.GetRevision())
	}
	fmt.Fprintln(w)
	writeChanges(w, entry.GetPlan())
	fmt.Fprintln(w)
	writeProgress(w, progressOf(entry, status))
	switch entry.GetState() {
	case controlv1.IntentState_INTENT_STATE_PLANNED:
		fmt.Fprintf(w, "It waits for confirmation: %s confirm %s %s\n", program, intent.GetId(), entry.GetPlan().GetDigest())
	case controlv1.IntentState_INTENT_STATE_CONFIRMED:
		fmt.Fprintf(w, "The slowest daemon, %s, is at revision %d of %d\n",
			status.GetSlowestDaemon(), status.GetSlowestRevision(), status.GetRevision())
	}
}

func writeProgress(w io.Writer, progress *controlv1.IntentProgress) {
	fmt.Fprintf(w, "Intent %s is %s", progress.GetIntentId(), intentState(progress.GetState()))
	if progress.GetRevision() > 0 {
		fmt.Fprintf(w, " as revision %d", progress.GetRevision())
	}
	fmt.Fprintln(w)
	for _, waiting := range progress.GetWaitingFor() {
		fmt.Fprintf(w, "  waits for %s\n", waiting)
	}
}

func writeRevision(w io.Writer, status *controlv1.StatusResponse) {
	fmt.Fprintf(w, "Revision %d, term %d, leader %d\n", status.GetRevision(), status.GetTerm(), status.GetLeader())
	if status.GetSlowestDaemon() != "" {
		fmt.Fprintf(w, "Slowest daemon: %s, at revision %d\n", status.GetSlowestDaemon(), status.GetSlowestRevision())
	}
	if zones := status.GetEvacuatedZones(); len(zones) > 0 {
		fmt.Fprintf(w, "Evacuated zones: %s\n", strings.Join(zones, ", "))
	}
}

func writeStatus(w io.Writer, status *controlv1.StatusResponse) {
	writeRevision(w, status)
	fmt.Fprintln(w)
	t := newTable(w, "REPLICA", "ADDRESS", "VOTES", "APPLIED")
	for _, replica := range status.GetReplicas() {
		t.row(formatUint(replica.GetId()), replica.GetAddr(), strconv.FormatBool(replica.GetVoter()), formatUint(replica.GetApplied()))
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "DAEMON", "ROLE", "ZONE", "REVISION", "HEARD")
	for _, daemon := range status.GetDaemons() {
		heard := time.Duration(daemon.GetHeardMs()) * time.Millisecond
		t.row(daemon.GetName(), daemon.GetRole(), daemon.GetZone(), formatUint(daemon.GetRevision()), heard.String()+" ago")
	}
	t.flush()
	for _, progress := range status.GetIntents() {
		fmt.Fprintln(w)
		writeProgress(w, progress)
	}
}

func writeMembers(w io.Writer, members *controlv1.MembersResponse) {
	t := newTable(w, "REPLICA", "ADDRESS", "VOTES")
	for _, voter := range members.GetVoters() {
		t.row(formatUint(voter.GetId()), voter.GetAddr(), "true")
	}
	for _, learner := range members.GetLearners() {
		t.row(formatUint(learner.GetId()), learner.GetAddr(), "false")
	}
	t.flush()
}

func writeConfiguration(w io.Writer, c *fleetv1.Configuration) {
	fmt.Fprintf(w, "Revision %d\n\n", c.GetRevision())
	writeSite(w, c.GetSite())
	t := newTable(w, "WORKSPACE", "IMPORTANCE", "GUARANTEED", "CONCURRENT", "MODELS", "REVISION")
	for _, workspace := range c.GetWorkspaces() {
		t.row(workspace.GetName(), strconv.Itoa(int(workspace.GetImportance())), fmt.Sprintf("%g%%", workspace.GetGuaranteedShare()*100),
			orUnlimited(workspace.GetMaxConcurrent()), orAll(workspace.GetModels()), formatUint(workspace.GetRevision()))
	}
	t.row()
	t.row("MODEL", "POOL", "VERSION", "ADAPTERS", "", "REVISION")
	for _, model := range c.GetModels() {
		t.row(model.GetName(), model.GetPool(), model.GetVersion(), strings.Join(model.GetAdapters(), " "), "", formatUint(model.GetRevision()))
	}
	t.row()
	t.row("SERVICE", "POOL", "PATH PREFIX", "ROUTES", "", "REVISION")
	for _, service := range c.GetServices() {
		t.row(service.GetName(), service.GetPool(), service.GetPathPrefix(), strconv.Itoa(len(service.GetRoutes())), "", formatUint(service.GetRevision()))
	}
	t.flush()
	fmt.Fprintln(w)
	writeEndpoints(w, c)
}

func writeEndpoints(w io.Writer, c *fleetv1.Configuration) {
	t := newTable(w, "ENDPOINT", "POOL", "ZONE", "STATE", "LIVE", "MODEL", "VERSION", "ROLE", "AGENT", "REVISION")
	for _, endpoint := range c.GetEndpoints() {
		t.row(endpoint.GetId(), endpoint.GetPool(), endpoint.GetZone(), enumLabel(endpoint.GetState(), "ENDPOINT_STATE_"),
			strconv.FormatBool(endpoint.GetLive()), endpoint.GetModel(), endpoint.GetVersion(), endpoint.GetRole(), endpoint.GetAgent(), formatUint(endpoint.GetRevision()))
	}
	t.row()
	t.row("GROUP", "EVENNESS", "MOVES", "STORE SHARE", "", "", "", "", "", "REVISION")
	for _, policy := range c.GetPolicies() {
		t.row(policy.GetGroup(), fmt.Sprint(policy.GetEvenness()), strconv.Itoa(int(policy.GetMaxMoves())), fmt.Sprint(policy.GetStoreShare()),
			"", "", "", "", "", formatUint(policy.GetRevision()))
	}
	t.row()
	t.row("GROUP", "EPOCH", "MAP", "FROM STEP", "", "", "", "", "", "REVISION")
	for _, expertMap := range c.GetMaps() {
		t.row(expertMap.GetGroup(), formatUint(expertMap.GetEpoch()), enumLabel(expertMap.GetState(), "MAP_STATE_"), formatUint(expertMap.GetActivateStep()),
			"", "", "", "", "", formatUint(expertMap.GetRevision()))
	}
	t.flush()
}

func orUnlimited(value int32) string {
	if value == 0 {
		return "unlimited"
	}
	return strconv.Itoa(int(value))
}

func orAll(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, " ")
}
