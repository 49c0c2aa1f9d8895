package parts

import "slices"

// packer distributes evidence over messages.
type packer struct {
	maxBytes, left int
	message        Evidence
	messages       []Evidence
}

// add adds a request that waited at a crash, with the begins of responses with its parts.
func (p *packer) add(c Crash, chain Chain, begins []Begin) {
	size := crashBytes + len(chain)*keyBytes + len(begins)*beginBytes
	if size > p.left && !p.message.Empty() {
		p.messages, p.message, p.left = append(p.messages, p.message), Evidence{}, p.maxBytes
	}
	last := len(p.message.Crashes) - 1
	if last >= 0 && p.message.Crashes[last].Endpoint == c.Endpoint && p.message.Crashes[last].Age == c.Age {
		size -= crashBytes
	} else {
		p.message.Crashes = append(p.message.Crashes, c)
		last++
	}
	p.message.Crashes[last].Chains = append(p.message.Crashes[last].Chains, slices.Clone(chain))
	p.left -= size
	for _, b := range begins {
		if !slices.ContainsFunc(p.message.Begins, func(sent Begin) bool { return sent.Part == b.Part }) {
			p.message.Begins = append(p.message.Begins, b)
		}
	}
}

// finish returns the messages.
func (p *packer) finish() []Evidence {
	if p.message.Empty() {
		return p.messages
	}
	return append(p.messages, p.message)
}
