package claim

// request is one operation on the log.
type request struct {
	claim Claim
	// release ends the claim in place of making it.
	release bool
	// revoke also bars the claim from being made later: it may still be on its way.
	revoke bool
}

// decide applies requests in order to the newest entry of each of their keys. It
// returns an answer for each request and the entries to append. Pure; known is changed.
func decide(epoch, keep int64, known map[string]entry, requests []request) ([]Result, []entry) {
	answers := make([]Result, len(requests))
	var appended []entry
	for i, r := range requests {
		id := r.claim.keyID()
		current, found := known[id]
		if found && current.expired(epoch, keep) {
			found = false
		}
		next, answer, changed := step(current, found, r)
		answers[i] = answer
		if changed {
			next.Epoch = epoch
			known[id] = next
			appended = append(appended, next)
		}
	}
	return answers, appended
}

// step applies one request to the newest entry of its key, if one is found.
func step(current entry, found bool, r request) (next entry, answer Result, changed bool) {
	held := found && !current.Released
	if r.release {
		next = entry{Claim: r.claim, Released: true}
		if held {
			return next, Result{}, releases(r.claim, current.Claim)
		}
		return next, Result{}, r.revoke
	}
	switch {
	case !held && found && current.owns(r.claim):
		return entry{}, Result{Outcome: Held, Holder: current.Claim}, false // Revoked before it arrived.
	case !held:
		return entry{Claim: r.claim}, Result{Outcome: Granted, Holder: r.claim}, true
	case current.owns(r.claim):
		return entry{}, Result{Outcome: Granted, Holder: current.Claim}, false
	case current.Digest != r.claim.Digest:
		return entry{}, Result{Outcome: Mismatched, Holder: current.Claim}, false
	default:
		return entry{}, Result{Outcome: Held, Holder: current.Claim}, false
	}
}

// releases reports whether a release by c ends the claim of holder. A release without
// a nonce stands for any call of the same request in the same incarnation.
func releases(c, holder Claim) bool {
	if c.Nonce == 0 {
		c.Nonce = holder.Nonce
	}
	return c.owns(holder)
}
