package claim

// request is one operation on the log: a claim or a release.
type request struct {
	claim Claim
	// release ends the claim instead of making it.
	release bool
	// revoke makes a release also block the claim itself, which may still be in transit.
	revoke bool
}

// decide applies requests in order to the latest entry of each of their keys. It returns a
// result for each request and the entries to append. Its only side effect is that it
// updates latest.
func decide(epoch, keepEpochs int64, latest map[string]entry, requests []request) ([]Result, []entry) {
	results := make([]Result, len(requests))
	var appended []entry
	for i, r := range requests {
		id := r.claim.keyID()
		current, found := latest[id]
		if found && current.expired(epoch, keepEpochs) {
			found = false
		}
		next, result, changed := applyRequest(current, found, r)
		results[i] = result
		if changed {
			next.Epoch = epoch
			latest[id] = next
			appended = append(appended, next)
		}
	}
	return results, appended
}

// applyRequest applies one request to the latest entry of its key, if one is found.
func applyRequest(current entry, found bool, r request) (next entry, result Result, changed bool) {
	held := found && !current.Released
	if r.release {
		next = entry{Claim: r.claim, Released: true}
		if held {
			return next, Result{}, releasesHolder(r.claim, current.Claim)
		}
		return next, Result{}, r.revoke
	}
	switch {
	case !held && found && current.sameCall(r.claim):
		return entry{}, Result{Outcome: Held, Holder: current.Claim}, false // Revoked before it arrived.
	case !held:
		return entry{Claim: r.claim}, Result{Outcome: Granted, Holder: r.claim}, true
	case current.sameCall(r.claim):
		return entry{}, Result{Outcome: Granted, Holder: current.Claim}, false
	case current.Digest != r.claim.Digest:
		return entry{}, Result{Outcome: Mismatched, Holder: current.Claim}, false
	default:
		return entry{}, Result{Outcome: Held, Holder: current.Claim}, false
	}
}

// releasesHolder reports whether a release by c ends the claim of holder. A release without
// a nonce applies to any call of the same request in the same incarnation.
func releasesHolder(c, holder Claim) bool {
	if c.Nonce == 0 {
		c.Nonce = holder.Nonce
	}
	return c.sameCall(holder)
}
