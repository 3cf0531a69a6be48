// Package mapwire encodes expert maps and the messages that switch them, for the
// replicated log and for the connections between control replicas and agents.
//
// In the log, the map of an epoch is a [StoredMap], which holds the map together with
// the fields that the log's own record lacks. In the Agent.Group RPC, a message is a
// GroupMessage whose map field holds an encoded [mapswitch.Record]; the maps themselves
// are read with the ReadMap RPC and verified by their digests.
package mapwire
