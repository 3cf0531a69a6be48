package replica

import "time"

// contact is the address of a replica that is not a member and to which this replica
// has something to send.
type contact struct {
	addr    string
	expires time.Duration
}

const (
	// maxContacts limits the contacts, whatever is received.
	maxContacts = 64
	// contactTimeouts is how long a contact is kept, in election timeouts: for longer
	// than the pause after which replicas repeat register and join.
	contactTimeouts = 4
)

// addContact records the address of a replica that the membership may not name, so
// that it can be answered.
func (n *Node) addContact(id uint64, addr string) {
	known, ok := n.contacts[id]
	if addr == "" || id == n.cfg.ID || !ok && len(n.contacts) >= maxContacts {
		return
	}
	n.contacts[id] = contact{addr: addr, expires: n.now + contactTimeouts*n.cfg.ElectionTimeout}
	if known.addr != addr {
		n.peersVersion++
	}
}

// dropExpiredContacts removes the contacts that have not been renewed.
func (n *Node) dropExpiredContacts() {
	for id, known := range n.contacts {
		if n.now >= known.expires {
			delete(n.contacts, id)
			n.peersVersion++
		}
	}
}

// Peers returns the addresses of the other replicas that this one may send messages
// to: those of its settings, the members, and others that it has to answer.
func (n *Node) Peers() map[uint64]string {
	peers := map[uint64]string{}
	for id, known := range n.contacts {
		peers[id] = known.addr
	}
	if n.discovered.id != 0 {
		peers[n.discovered.id] = n.discovered.addr
	}
	for id, addr := range n.cfg.Peers {
		peers[id] = addr
	}
	for _, member := range n.members.current().GetMembers() {
		peers[member.GetId()] = member.GetAddr()
	}
	delete(peers, n.cfg.ID)
	return peers
}

// PeersVersion changes whenever Peers does.
func (n *Node) PeersVersion() uint64 { return n.peersVersion }
