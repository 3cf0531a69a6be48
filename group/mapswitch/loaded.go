package mapswitch

// references reports whether the record refers to the epoch.
func (r *Rank) references(epoch uint64) bool {
	return epoch != 0 && (epoch == r.record.Epoch || epoch == r.record.PreviousEpoch || epoch == r.record.PendingEpoch)
}

func (r *Rank) hasLoaded(epoch uint64) bool {
	for _, loaded := range r.loaded {
		if epoch != 0 && loaded == epoch {
			return true
		}
	}
	return false
}

// addLoaded adds an epoch that the record refers to; dropUnreferenced has made room.
func (r *Rank) addLoaded(epoch uint64) {
	if r.hasLoaded(epoch) {
		return
	}
	for i, loaded := range r.loaded {
		if loaded == 0 {
			r.loaded[i] = epoch
			return
		}
	}
}

// dropUnreferenced drops the loaded epochs that the record no longer refers to.
func (r *Rank) dropUnreferenced() {
	for i, loaded := range r.loaded {
		if !r.references(loaded) {
			r.loaded[i] = 0
		}
	}
}

// loadOrders returns load orders for the epochs that the engine still needs: the
// epoch of its current step, the one in force, and the pending one.
func (r *Rank) loadOrders() []Message {
	if !r.recordRead {
		return nil
	}
	needed := [maxLoaded]uint64{r.record.EpochAt(r.position), r.record.Epoch, r.record.PendingEpoch}
	var out []Message
	for i, epoch := range needed {
		if epoch == 0 || r.hasLoaded(epoch) || i == 1 && epoch == needed[0] {
			continue
		}
		m := r.message(KindLoad)
		m.Epoch, m.Digest = epoch, r.record.DigestOf(epoch)
		out = append(out, m)
	}
	return out
}
