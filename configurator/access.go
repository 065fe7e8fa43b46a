package configurator

// access holds the hashes of the tokens that authenticate one principal.
type access struct {
	principal   Principal
	tokenHashes []string
}

type accessJSON struct {
	TokenHashes []string `json:"tokenHashes"`
}

func newAccess(p path, wire accessJSON) access {
	principal := Team(p.team())
	if p.segments[0] == segmentOperators {
		principal = Operator(p.name())
	}
	return access{principal: principal, tokenHashes: wire.TokenHashes}
}
