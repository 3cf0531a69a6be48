package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// replanRemedy is the remedy for conflicts between intents.
const replanRemedy = "read the current configuration and plan again with a new intent id"

// intentRefs lists the objects that an intent names.
func intentRefs(intent *controlv1.Intent) []objectRef {
	var refs []objectRef
	add := func(kind objectKind, name string) { refs = append(refs, objectRef{kind, name}) }
	for _, workspace := range intent.GetWorkspaces() {
		add(workspaceKind, workspace.GetName())
	}
	for _, name := range intent.GetRemoveWorkspaces() {
		add(workspaceKind, name)
	}
	for _, model := range intent.GetModels() {
		add(modelKind, model.GetName())
	}
	for _, name := range intent.GetRemoveModels() {
		add(modelKind, name)
	}
	for _, service := range intent.GetServices() {
		add(serviceKind, service.GetName())
	}
	for _, name := range intent.GetRemoveServices() {
		add(serviceKind, name)
	}
	for _, endpoint := range intent.GetEndpoints() {
		add(endpointKind, endpoint.GetId())
	}
	for _, policy := range intent.GetPolicies() {
		add(policyKind, policy.GetGroup())
	}
	for _, change := range intent.GetZones() {
		add(zoneKind, change.GetZone())
	}
	return refs
}

// digestOf returns the SHA-256 of a message's deterministic encoding.
func digestOf(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// A message decoded from the log can always be encoded.
		panic(fmt.Sprintf("contract: encoding a decoded message: %v", err))
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// applyPlan plans an intent. A repeated request with the same intent gets the first plan
// even if the state has changed since; a different intent with the same id is refused.
func (s *State) applyPlan(intent *controlv1.Intent) *Result {
	body := digestOf(intent)
	if record := s.intents.find(intent.GetId()); record != nil {
		if string(record.GetBodyDigest()) != string(body) {
			return &Result{Err: intentIDReusedError(record)}
		}
		return &Result{Plan: record.GetPlan()}
	}
	if err := validateIntent(intent); err != nil {
		return &Result{Err: err}
	}
	if err := s.checkBaseRevision(intent); err != nil {
		return &Result{Err: err}
	}
	plan, err := s.buildPlan(intent)
	if err != nil {
		return &Result{Err: err}
	}
	plan.Digest = hex.EncodeToString(append(digestOf(plan)[:16], body[:16]...))
	record := &contractv1.IntentRecord{
		Intent: intent, BodyDigest: body, Plan: plan,
		State:           controlv1.IntentState_INTENT_STATE_PLANNED,
		PlannedRevision: s.revision,
		Touched:         s.touchedObjects(intent),
	}
	s.intents.add(record)
	return &Result{Plan: plan}
}

func intentIDReusedError(record *contractv1.IntentRecord) *fault.Error {
	return fault.Newf(fault.Conflict, "use a new id for the new intent",
		"intent id %s was already used by operator %s for a different intent", record.GetIntent().GetId(), record.GetIntent().GetOperator())
}

// touchedObjects returns the objects that an intent names with the revisions of their last
// changes by operators.
func (s *State) touchedObjects(intent *controlv1.Intent) []*contractv1.Touched {
	var touched []*contractv1.Touched
	for _, ref := range intentRefs(intent) {
		touched = append(touched, &contractv1.Touched{
			Kind: string(ref.kind), Name: ref.name, Revision: s.lastOperatorChange(ref).revision,
		})
	}
	return touched
}

// operatorChange is the last change of an object by an operator.
type operatorChange struct {
	revision uint64
	intent   string
	// exists is whether the object exists. An endpoint may exist without an operator
	// change, because announcements do not count as one.
	exists bool
}

// lastOperatorChange returns the last change of an object by an operator, which may be its
// removal.
func (s *State) lastOperatorChange(ref objectRef) operatorChange {
	switch ref.kind {
	case workspaceKind:
		if entry := s.workspaces[ref.name]; entry != nil {
			return operatorChange{entry.message.GetRevision(), entry.intent, true}
		}
	case modelKind:
		if entry := s.models[ref.name]; entry != nil {
			return operatorChange{entry.message.GetRevision(), entry.intent, true}
		}
	case serviceKind:
		if entry := s.services[ref.name]; entry != nil {
			return operatorChange{entry.message.GetRevision(), entry.intent, true}
		}
	case policyKind:
		if entry := s.policies[ref.name]; entry != nil {
			return operatorChange{entry.message.GetRevision(), entry.intent, true}
		}
	case endpointKind:
		if entry := s.endpoints[ref.name]; entry != nil {
			return operatorChange{entry.wantedRevision, entry.intent, true}
		}
	case zoneKind:
		entry := s.zones[ref.name]
		return operatorChange{entry.revision, entry.intent, s.knowsZone(ref.name)}
	}
	removal := s.tombstones.find(ref)
	return operatorChange{removal.GetRevision(), removal.GetIntentId(), false}
}

// checkBaseRevision returns an error if an object that the intent names has changed since
// the intent's base revision.
func (s *State) checkBaseRevision(intent *controlv1.Intent) *fault.Error {
	base := intent.GetBaseRevision()
	if base == 0 {
		return nil
	}
	if base > s.revision {
		return fault.Newf(fault.Invalid, "read the configuration and use its revision",
			"intent %s is based on revision %d, which does not exist yet", intent.GetId(), base)
	}
	for _, ref := range intentRefs(intent) {
		last := s.lastOperatorChange(ref)
		if last.revision > base {
			return s.conflictError(intent.GetId(), ref, last)
		}
		if !last.exists && last.revision == 0 && base < s.tombstones.floor {
			return fault.Newf(fault.Conflict, replanRemedy,
				"revision %d is too old to tell whether %s %s was removed since", base, ref.kind, ref.name)
		}
	}
	return nil
}

// conflictError returns the Conflict error for an intent that names an object with a more
// recent change.
func (s *State) conflictError(intentID string, ref objectRef, last operatorChange) *fault.Error {
	if last.intent == "" {
		return fault.Newf(fault.Conflict, replanRemedy, "intent %s: %s %s has since been removed or announced again", intentID, ref.kind, ref.name)
	}
	return fault.Newf(fault.Conflict, replanRemedy, "intent %s: %s %s changed at revision %d by %s",
		intentID, ref.kind, ref.name, last.revision, s.describeIntentChange(last.intent, ref))
}

// describeIntentChange describes an intent, its operator and its change of an object.
func (s *State) describeIntentChange(intentID string, ref objectRef) string {
	record := s.intents.find(intentID)
	if record == nil {
		return "intent " + intentID
	}
	text := fmt.Sprintf("intent %s of operator %s", intentID, record.GetIntent().GetOperator())
	for _, change := range record.GetPlan().GetChanges() {
		if change.GetKind() == string(ref.kind) && change.GetName() == ref.name {
			return text + ": " + change.GetText()
		}
	}
	return text
}

// applyConfirm accepts a plan, which changes the configuration in one new revision. A
// repeated request gets the first result.
func (s *State) applyConfirm(request *controlv1.ConfirmRequest) *Result {
	record := s.intents.find(request.GetIntentId())
	if record == nil {
		return &Result{Err: unknownIntentError(request.GetIntentId())}
	}
	if err := checkName("operator", request.GetOperator()); err != nil {
		return &Result{Err: err}
	}
	if record.GetPlan().GetDigest() != request.GetDigest() {
		return &Result{Err: fault.Newf(fault.Conflict, "read the plan again and confirm it with its digest",
			"the plan of intent %s has a different digest", request.GetIntentId())}
	}
	switch record.GetState() {
	case controlv1.IntentState_INTENT_STATE_CONFIRMED, controlv1.IntentState_INTENT_STATE_DONE:
		return &Result{Revision: record.GetRevision()}
	case controlv1.IntentState_INTENT_STATE_CANCELLED:
		return &Result{Err: fault.Newf(fault.Conflict, replanRemedy, "intent %s was cancelled", request.GetIntentId())}
	}
	if err := s.checkPlanCurrent(record); err != nil {
		return &Result{Err: err}
	}
	s.applyIntent(record)
	record.State = controlv1.IntentState_INTENT_STATE_CONFIRMED
	record.Revision = s.revision
	record.ConfirmedBy = request.GetOperator()
	return &Result{Revision: s.revision}
}

func unknownIntentError(id string) *fault.Error {
	return fault.Newf(fault.NotFound, "plan the intent first", "intent %s is unknown", id)
}

// checkPlanCurrent returns an error if an object that the plan touches has changed since
// it was made, or if applying it now would have more effects than its operator was shown.
func (s *State) checkPlanCurrent(record *contractv1.IntentRecord) *fault.Error {
	id := record.GetIntent().GetId()
	for _, touched := range record.GetTouched() {
		ref := objectRef{objectKind(touched.GetKind()), touched.GetName()}
		if last := s.lastOperatorChange(ref); last.revision != touched.GetRevision() {
			return s.conflictError(id, ref, last)
		}
	}
	current, err := s.buildPlan(record.GetIntent())
	if err != nil {
		return fault.Newf(fault.Conflict, replanRemedy, "intent %s can no longer be applied%s: %s",
			id, s.describeNewestSince(record), err.Message)
	}
	if regression := describePlanRegression(record.GetPlan(), current); regression != "" {
		return fault.Newf(fault.Conflict, replanRemedy, "applying intent %s would now have more effects than its plan shows%s: %s",
			id, s.describeNewestSince(record), regression)
	}
	return nil
}

// describeNewestSince describes the newest intent confirmed after a plan was made, which
// is the most likely reason why the plan is outdated.
func (s *State) describeNewestSince(record *contractv1.IntentRecord) string {
	var newest *contractv1.IntentRecord
	for _, other := range s.intents.order {
		changed := len(other.GetPlan().GetChanges()) > 0
		if changed && other.GetRevision() > max(record.GetPlannedRevision(), newest.GetRevision()) {
			newest = other
		}
	}
	if newest == nil {
		return " (endpoints have since joined or left)"
	}
	var texts []string
	for _, change := range newest.GetPlan().GetChanges()[:min(3, len(newest.GetPlan().GetChanges()))] {
		texts = append(texts, change.GetText())
	}
	return fmt.Sprintf(" (intent %s of operator %s has since created revision %d: %s)",
		newest.GetIntent().GetId(), newest.GetIntent().GetOperator(), newest.GetRevision(), strings.Join(texts, "; "))
}

// describePlanRegression returns how the current plan is worse than the one shown to the
// operator, or an empty string: a different change, more weights to load, a new drain or
// a new warning. Improvements are ignored, and so is capacity, which changes with any
// endpoint of the fleet.
func describePlanRegression(shown, current *controlv1.Plan) string {
	if len(shown.GetChanges()) != len(current.GetChanges()) {
		return fmt.Sprintf("%d changes instead of %d", len(current.GetChanges()), len(shown.GetChanges()))
	}
	for i, change := range current.GetChanges() {
		if isChangeRegression(shown.GetChanges()[i], change) {
			return change.GetText()
		}
	}
	for _, warning := range current.GetWarnings() {
		if !slices.Contains(shown.GetWarnings(), warning) {
			return warning
		}
	}
	return ""
}

// isChangeRegression reports whether the current change is worse than the one shown: it
// differs apart from the load estimate, loads more weights or newly drains an endpoint.
func isChangeRegression(shown, current *controlv1.Change) bool {
	shownText, _, _ := strings.Cut(shown.GetText(), loadTextSeparator)
	currentText, _, _ := strings.Cut(current.GetText(), loadTextSeparator)
	return shownText != currentText ||
		current.GetWeightBytes() > shown.GetWeightBytes() ||
		current.GetDrains() && !shown.GetDrains()
}

// applyCancel cancels an unconfirmed intent.
func (s *State) applyCancel(request *controlv1.CancelRequest) *Result {
	record := s.intents.find(request.GetIntentId())
	if record == nil {
		return &Result{Err: unknownIntentError(request.GetIntentId())}
	}
	switch record.GetState() {
	case controlv1.IntentState_INTENT_STATE_CONFIRMED, controlv1.IntentState_INTENT_STATE_DONE:
		return &Result{Err: fault.Newf(fault.Conflict, "submit a new intent that reverts it",
			"intent %s is confirmed as revision %d", request.GetIntentId(), record.GetRevision())}
	}
	record.State = controlv1.IntentState_INTENT_STATE_CANCELLED
	return &Result{}
}

// applyIntentDone marks a confirmed intent as done.
func (s *State) applyIntentDone(done *contractv1.IntentDone) *Result {
	record := s.intents.find(done.GetIntentId())
	if record == nil {
		return &Result{Err: unknownIntentError(done.GetIntentId())}
	}
	switch record.GetState() {
	case controlv1.IntentState_INTENT_STATE_DONE:
		return &Result{Revision: record.GetRevision()}
	case controlv1.IntentState_INTENT_STATE_CONFIRMED:
	default:
		return &Result{Err: fault.Newf(fault.Conflict, "confirm the intent first", "intent %s is not confirmed", done.GetIntentId())}
	}
	if waiting := s.waitingFor(record); len(waiting) > 0 {
		return &Result{Err: fault.Newf(fault.Conflict, "complete the pending part first",
			"intent %s is still waiting for %s", done.GetIntentId(), waiting[0])}
	}
	record.State = controlv1.IntentState_INTENT_STATE_DONE
	return &Result{Revision: record.GetRevision()}
}
