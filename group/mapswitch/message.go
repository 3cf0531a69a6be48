package mapswitch

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages, with their sender and receiver.
const (
	// KindPrepare (coordinator to rank) asks to load the map of Epoch.
	KindPrepare Kind = iota + 1
	// KindPrepared (rank to coordinator) reports that Epoch is loaded and that the
	// rank is at Step.
	KindPrepared
	// KindPromise (coordinator to rank) asks for the promise not to run Step or any
	// later step until Epoch is decided.
	KindPromise
	// KindPromised (rank to coordinator) makes that promise.
	KindPromised
	// KindRefused (rank to coordinator) refuses a request; see Reason.
	KindRefused
	// KindDecided (coordinator to rank) carries the committed record.
	KindDecided
	// KindAcknowledged (rank to coordinator) confirms Record.Revision.
	KindAcknowledged
	// KindHolding (rank to coordinator) reports that the engine waits at Step for
	// the decision on Epoch.
	KindHolding
	// KindRead (rank to any control replica) asks for the record. With Quorum
	// set, the answer must be a linearizable read.
	KindRead
	// KindRecord (control replica to rank) answers KindRead; it repeats
	// Incarnation, and sets Quorum only if the read was linearizable.
	KindRecord
	// KindLoad (rank to its engine) orders the weights of Epoch to be loaded.
	// The driver fetches the map from any control replica and checks Digest.
	KindLoad
	// KindLoaded (engine to rank) reports that the weights of Epoch are loaded.
	KindLoaded
	// KindFenced (engine to rank) refuses an order, because the engine has seen
	// the higher fencing token Token.
	KindFenced
)

// Reason is the reason why a rank refused a request.
type Reason uint8

// The reasons of KindRefused.
const (
	// ReasonFenced means that the rank has seen the higher token Token.
	ReasonFenced Reason = iota + 1
	// ReasonPassed means that the rank is at Step already.
	ReasonPassed
	// ReasonNotReady means that the rank has not loaded the epoch, or does not yet
	// know which step its engine is at, or has not reached the first step of the map
	// in force.
	ReasonNotReady
)

// Message is one message of the protocol. Fields that a kind does not use are zero.
// It is comparable.
type Message struct {
	// Kind determines which of the other fields are used.
	Kind Kind
	// Group is the name of the group.
	Group string
	// Rank is the rank that the message is for or from.
	Rank int
	// Token is the fencing token of the coordinator.
	Token uint64
	// Epoch and Digest identify the map that the message is about.
	Epoch, Digest uint64
	// Step is the step promised, or the step that the rank is at.
	Step uint64
	// Incarnation is that of the rank's process.
	Incarnation uint64
	// Quorum marks a linearizable read.
	Quorum bool
	// Reason is set in KindRefused.
	Reason Reason
	// Sole, in KindPrepare and KindPromise, means that no other coordinator has asked for
	// a promise in this group. One coordinator never asks for the same step in two switches.
	Sole bool
	// Record is the committed record, set in all messages of the coordinator and
	// in KindRecord.
	Record Record
}

// Destination is the kind of receiver of a message.
type Destination uint8

// The destinations of messages.
const (
	// ToRank is the Rank state machine of Message.Rank.
	ToRank Destination = iota + 1
	// ToCoordinator is the coordinator on the leader.
	ToCoordinator
	// ToControl is any control replica.
	ToControl
	// ToEngine is the engine of the Rank state machine that sent the message.
	ToEngine
)

// Destination returns the receiver of messages of the kind.
func (k Kind) Destination() Destination {
	switch k {
	case KindPrepared, KindPromised, KindRefused, KindAcknowledged, KindHolding:
		return ToCoordinator
	case KindRead:
		return ToControl
	case KindLoad:
		return ToEngine
	}
	return ToRank
}

// AnswerRead returns the reply of a control replica to a KindRead, given the record
// that the replica has applied. linearizable must be true only if the record was
// read through a quorum after the message had arrived.
func AnswerRead(m Message, record Record, linearizable bool) Message {
	return Message{
		Kind:        KindRecord,
		Group:       m.Group,
		Rank:        m.Rank,
		Incarnation: m.Incarnation,
		Quorum:      linearizable,
		Record:      record,
	}
}
