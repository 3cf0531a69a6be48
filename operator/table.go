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

// table writes aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(w io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

func (t table) end() { t.writer.Flush() }

// lowerName turns an enum value such as INTENT_STATE_DONE into done.
func lowerName(value fmt.Stringer, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(value.String(), prefix))
}

func intentState(state controlv1.IntentState) string { return lowerName(state, "INTENT_STATE_") }

func number(value uint64) string { return strconv.FormatUint(value, 10) }

// writePlan prints a plan and what to do next. The revision is the one as which
// the intent was accepted before, zero for none.
func writePlan(w io.Writer, plan *controlv1.Plan, revision uint64) {
	fmt.Fprintf(w, "Plan of intent %s at revision %d\n\n", plan.GetIntentId(), plan.GetBaseRevision())
	writeChanges(w, plan)
	if revision > 0 {
		fmt.Fprintf(w, "\nThis intent was accepted before, as revision %d. Nothing is left to confirm.\n", revision)
		return
	}
	fmt.Fprintf(w, "\nNothing has happened yet. To accept this plan:\n  %s confirm %s %s\n",
		program, plan.GetIntentId(), plan.GetDigest())
}

// writeChanges prints what a plan changes and warns of.
func writeChanges(w io.Writer, plan *controlv1.Plan) {
	if len(plan.GetChanges()) == 0 {
		fmt.Fprintln(w, "It changes nothing.")
	}
	for _, change := range plan.GetChanges() {
		fmt.Fprintf(w, "  %s  %s%s\n", actionSign(change.GetAction()), change.GetText(), drainNote(change))
	}
	fmt.Fprintf(w, "\nRequests at a time: %d before, %d after\n", plan.GetCapacityBefore(), plan.GetCapacityAfter())
	for _, warning := range plan.GetWarnings() {
		fmt.Fprintf(w, "Warning: %s\n", warning)
	}
}

func actionSign(action string) string {
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
		return " (waits for work in flight)"
	}
	return ""
}

func writeHistory(w io.Writer, entries []*controlv1.HistoryEntry) {
	t := newTable(w, "INTENT", "STATE", "REVISION", "OPERATOR", "CONFIRMED BY", "CHANGES", "COMMENT")
	for _, entry := range entries {
		intent := entry.GetIntent()
		t.row(intent.GetId(), intentState(entry.GetState()), number(entry.GetRevision()), intent.GetOperator(),
			entry.GetConfirmedBy(), strconv.Itoa(len(entry.GetPlan().GetChanges())), firstLine(intent.GetComment()))
	}
	t.end()
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
		fmt.Fprintf(w, "It waits for an operator: %s confirm %s %s\n", program, intent.GetId(), entry.GetPlan().GetDigest())
	case controlv1.IntentState_INTENT_STATE_CONFIRMED:
		fmt.Fprintf(w, "The slowest daemon, %s, acts on revision %d of %d\n",
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
		fmt.Fprintf(w, "Slowest: %s acts on revision %d\n", status.GetSlowestDaemon(), status.GetSlowestRevision())
	}
}

func writeStatus(w io.Writer, status *controlv1.StatusResponse) {
	writeRevision(w, status)
	fmt.Fprintln(w)
	t := newTable(w, "REPLICA", "ADDRESS", "VOTES", "APPLIED")
	for _, replica := range status.GetReplicas() {
		t.row(number(replica.GetId()), replica.GetAddr(), strconv.FormatBool(replica.GetVoter()), number(replica.GetApplied()))
	}
	t.end()
	fmt.Fprintln(w)
	t = newTable(w, "DAEMON", "ROLE", "ZONE", "REVISION", "HEARD")
	for _, daemon := range status.GetDaemons() {
		heard := time.Duration(daemon.GetHeardMs()) * time.Millisecond
		t.row(daemon.GetName(), daemon.GetRole(), daemon.GetZone(), number(daemon.GetRevision()), heard.String()+" ago")
	}
	t.end()
	for _, progress := range status.GetIntents() {
		fmt.Fprintln(w)
		writeProgress(w, progress)
	}
}

func writeMembers(w io.Writer, members *controlv1.MembersResponse) {
	t := newTable(w, "REPLICA", "ADDRESS", "VOTES")
	for _, voter := range members.GetVoters() {
		t.row(number(voter.GetId()), voter.GetAddr(), "true")
	}
	for _, learner := range members.GetLearners() {
		t.row(number(learner.GetId()), learner.GetAddr(), "false")
	}
	t.end()
}

func writeConfiguration(w io.Writer, c *fleetv1.Configuration) {
	fmt.Fprintf(w, "Revision %d\n\n", c.GetRevision())
	writeSite(w, c.GetSite())
	t := newTable(w, "WORKSPACE", "IMPORTANCE", "GUARANTEED", "CONCURRENT", "MODELS", "REVISION")
	for _, each := range c.GetWorkspaces() {
		t.row(each.GetName(), strconv.Itoa(int(each.GetImportance())), fmt.Sprintf("%g%%", each.GetGuaranteedShare()*100),
			orUnlimited(each.GetMaxConcurrent()), orAll(each.GetModels()), number(each.GetRevision()))
	}
	t.row()
	t.row("MODEL", "POOL", "VERSION", "ADAPTERS", "", "REVISION")
	for _, each := range c.GetModels() {
		t.row(each.GetName(), each.GetPool(), each.GetVersion(), strings.Join(each.GetAdapters(), " "), "", number(each.GetRevision()))
	}
	t.row()
	t.row("SERVICE", "POOL", "PATH PREFIX", "ROUTES", "", "REVISION")
	for _, each := range c.GetServices() {
		t.row(each.GetName(), each.GetPool(), each.GetPathPrefix(), strconv.Itoa(len(each.GetRoutes())), "", number(each.GetRevision()))
	}
	t.end()
	fmt.Fprintln(w)
	writeEndpoints(w, c)
}

func writeEndpoints(w io.Writer, c *fleetv1.Configuration) {
	t := newTable(w, "ENDPOINT", "POOL", "ZONE", "STATE", "LIVE", "MODEL", "VERSION", "ROLE", "AGENT", "REVISION")
	for _, each := range c.GetEndpoints() {
		t.row(each.GetId(), each.GetPool(), each.GetZone(), lowerName(each.GetState(), "ENDPOINT_STATE_"),
			strconv.FormatBool(each.GetLive()), each.GetModel(), each.GetVersion(), each.GetRole(), each.GetAgent(), number(each.GetRevision()))
	}
	t.row()
	t.row("GROUP", "EVENNESS", "MOVES", "STORE SHARE", "", "", "", "", "", "REVISION")
	for _, each := range c.GetPolicies() {
		t.row(each.GetGroup(), fmt.Sprint(each.GetEvenness()), strconv.Itoa(int(each.GetMaxMoves())), fmt.Sprint(each.GetStoreShare()),
			"", "", "", "", "", number(each.GetRevision()))
	}
	t.row()
	t.row("GROUP", "EPOCH", "MAP", "FROM STEP", "", "", "", "", "", "REVISION")
	for _, each := range c.GetMaps() {
		t.row(each.GetGroup(), number(each.GetEpoch()), lowerName(each.GetState(), "MAP_STATE_"), number(each.GetActivateStep()),
			"", "", "", "", "", number(each.GetRevision()))
	}
	t.end()
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
