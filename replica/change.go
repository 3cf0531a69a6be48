package replica

import (
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// ChangeKind is the type of a membership change.
type ChangeKind string

// The membership changes that an operator can request.
const (
	// AddLearner adds a replica that receives the log without a vote. The replica
	// is started with a blank disk and Config.Join.
	AddLearner ChangeKind = "add-learner"
	// AddVoter adds a learner that the leader promotes once it has caught up.
	AddVoter ChangeKind = "add-voter"
	// Promote turns a learner that has caught up into a voter.
	Promote ChangeKind = "promote"
	// Remove removes a replica from the membership.
	Remove ChangeKind = "remove"
)

// ConfChange is one change of the membership.
type ConfChange struct {
	// Kind is the type of the change.
	Kind ChangeKind
	// ID identifies the replica to change.
	ID uint64
	// Addr is the host:port of a replica to add.
	Addr string
}

// ProposeConfChange appends the membership that results from change and returns the
// index and term of its entry, as Propose does. Only one change can be in progress
// at a time.
func (n *Node) ProposeConfChange(change ConfChange) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	changed, err := n.applyChange(change)
	if err != nil {
		return 0, 0, err
	}
	return n.proposeMembership(changed)
}

// applyChange returns the current membership with one change applied.
func (n *Node) applyChange(change ConfChange) (*pb.Membership, error) {
	current := n.members.current()
	member := FindMember(current, change.ID)
	adds := change.Kind == AddLearner || change.Kind == AddVoter
	switch {
	case change.ID == 0 || adds && change.Addr == "":
		return nil, fault.New(fault.Invalid, "the replica's id or address is missing", "give both")
	case adds && member != nil:
		return nil, fault.Newf(fault.Conflict, "remove it first, or choose another id", "replica %d is a member already", change.ID)
	case !adds && member == nil:
		return nil, fault.Newf(fault.NotFound, "look up the members in the status", "replica %d is not a member", change.ID)
	}
	switch change.Kind {
	case AddLearner, AddVoter:
		return withMember(current, &pb.Member{
			Id: change.ID, Addr: change.Addr, Role: pb.Role_ROLE_LEARNER, Promote: change.Kind == AddVoter,
		}), nil
	case Promote:
		return n.withPromotion(member)
	case Remove:
		return withRemoval(current, change.ID), nil
	}
	return nil, fault.Newf(fault.Invalid, "use add-learner, add-voter, promote or remove", "unknown membership change %q", change.Kind)
}

// withPromotion returns the current membership with a learner turned into a voter,
// or an error if it has not caught up.
func (n *Node) withPromotion(member *pb.Member) (*pb.Membership, error) {
	if isVoter(member) {
		return nil, fault.Newf(fault.Conflict, "no action is needed", "replica %d is already a voter", member.GetId())
	}
	if !n.caughtUp(member) {
		return nil, fault.Newf(fault.Conflict, "wait until its match index reaches the commit index in the status",
			"replica %d has not caught up", member.GetId()).RetryIn(n.cfg.HeartbeatInterval)
	}
	voter := &pb.Member{
		Id: member.GetId(), Addr: member.GetAddr(), Disk: member.GetDisk(),
		Incarnation: member.GetIncarnation(), Boot: member.GetBoot(), Role: pb.Role_ROLE_VOTER,
	}
	return withMember(n.members.current(), voter), nil
}

// caughtUp reports whether a member is active and has stored all committed entries.
func (n *Node) caughtUp(member *pb.Member) bool {
	pr := n.progress[member.GetId()]
	return pr != nil && member.GetDisk() != 0 && n.isActive(member.GetId()) && pr.match >= n.log.committed
}

// proposeMembership appends a membership, which must differ from the current one by
// at most one voter.
func (n *Node) proposeMembership(changed *pb.Membership) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if n.members.index() > n.log.committed || !n.committedInTerm() {
		return 0, 0, fault.New(fault.Conflict, "another membership change is in progress",
			"retry when it is committed").RetryIn(n.cfg.HeartbeatInterval)
	}
	if len(voters(changed)) == 0 {
		return 0, 0, fault.New(fault.Invalid, "no voter would be left", "add another voter first")
	}
	if n.activeVoters(changed) < quorum(changed) {
		return 0, 0, fault.New(fault.Conflict, "too few of the remaining voters are reachable to commit the change",
			"bring the other voters back first").RetryIn(n.cfg.ElectionTimeout)
	}
	entry := &pb.Entry{Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: changed}
	n.propose(entry)
	return entry.GetIndex(), entry.GetTerm(), nil
}

// promoteCaughtUp promotes a learner that has caught up and is marked for
// promotion.
func (n *Node) promoteCaughtUp() {
	for _, member := range n.members.current().GetMembers() {
		if !member.GetPromote() || !n.caughtUp(member) {
			continue
		}
		// This is refused while another change is in progress; the next tick
		// retries.
		_, _, _ = n.ProposeConfChange(ConfChange{Kind: Promote, ID: member.GetId()})
		return
	}
}

// transfer is a leadership transfer in progress.
type transfer struct {
	target   uint64
	deadline time.Duration
}

// TransferLeader starts a transfer of the leadership to another voter. Proposals
// are refused until the transfer is complete or an election timeout has passed.
func (n *Node) TransferLeader(to uint64) error {
	if err := n.mayPropose(); err != nil {
		return err
	}
	if to == n.cfg.ID {
		return nil
	}
	member := FindMember(n.members.current(), to)
	if !isVoter(member) || !n.isActive(to) {
		return fault.Newf(fault.Conflict, "choose a voter that the status shows as active", "replica %d cannot become leader now", to)
	}
	n.transfer = transfer{target: to, deadline: n.now + n.cfg.ElectionTimeout}
	n.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow tells the target of a transfer to campaign once it has the
// whole log.
func (n *Node) maybeSendTimeoutNow() {
	pr := n.progress[n.transfer.target]
	if n.role != Leader || n.transfer.target == 0 || pr == nil || pr.match < n.log.last().index {
		return
	}
	n.send(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: n.transfer.target, ToDisk: pr.disk})
}

func (n *Node) tickTransfer() {
	if n.transfer.target != 0 && n.now >= n.transfer.deadline {
		n.transfer = transfer{}
	}
}

func (n *Node) handleTimeoutNow(m *pb.Message) {
	if n.leader == m.GetFrom() && n.mayCampaign() {
		n.campaign(true)
	}
}
