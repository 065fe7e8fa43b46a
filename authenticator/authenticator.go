// Package authenticator authenticates callers by bearer tokens and checks what they may
// access.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/configurator"
)

// MaxTokenBytes is the greatest length of a token in bytes.
const MaxTokenBytes = 512

const (
	scheme          = "Bearer"
	counterOperator = "authenticator.operator"
	counterTeam     = "authenticator.team"
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// HashToken returns the SHA-256 hash of token in hexadecimal. Settings hold tokens only in
// this form.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticator identifies callers by the token hashes in the current settings tree. It also
// accepts the token of one operator from the process's own settings file, so that the first
// edit of an empty tree can be authenticated.
type Authenticator struct {
	operator     configurator.Principal
	operatorHash string
	registry     metrics.Registry
}

// New returns an authenticator that identifies the token with the hash operatorHash as the
// operator operatorName. With an empty operatorHash it accepts only tokens in the settings
// tree. It fails with kind Invalid when operatorHash is neither empty nor 64 lower-case
// hexadecimal digits.
func New(operatorName, operatorHash string, registry metrics.Registry) (*Authenticator, error) {
	if operatorHash != "" && !hashPattern.MatchString(operatorHash) {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "operatorTokenHash: must be a SHA-256 of 64 lower-case hexadecimal digits")
	}
	return &Authenticator{operator: configurator.Operator(operatorName), operatorHash: operatorHash, registry: registry}, nil
}

// Authenticate returns the principal whose token is in header, the value of the
// Authorization header. It fails with kind Unauthenticated; the text of the error does not
// contain the token.
func (a *Authenticator) Authenticate(view *configurator.View, header string) (configurator.Principal, error) {
	principal, err := a.identify(view, header)
	if err != nil {
		a.count("authenticator." + apricotwinch.Unauthenticated.ErrorResponse().Counter())
		return configurator.Principal{}, err
	}
	if principal.IsOperator() {
		a.count(counterOperator)
	} else {
		a.count(counterTeam)
	}
	return principal, nil
}

func (a *Authenticator) identify(view *configurator.View, header string) (configurator.Principal, error) {
	token, err := parseHeader(header)
	if err != nil {
		return configurator.Principal{}, err
	}
	hash := HashToken(token)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(a.operatorHash)) == 1 {
		return a.operator, nil
	}
	// The look-up need not take constant time: its timing depends only on the hash of the
	// token, which a caller can't steer towards a stored hash without knowing its token.
	if principal, ok := view.Principal(hash); ok {
		return principal, nil
	}
	return configurator.Principal{}, apricotwinch.Errorf(apricotwinch.Unauthenticated, "Authorization: the token is unknown")
}

// parseHeader returns the token in the value of an Authorization header. It fails with kind
// Unauthenticated.
func parseHeader(header string) (string, error) {
	givenScheme, token, _ := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	if header == "" || !strings.EqualFold(givenScheme, scheme) || token == "" {
		return "", apricotwinch.Errorf(apricotwinch.Unauthenticated, "Authorization: must be %q and a token", scheme)
	}
	if len(token) > MaxTokenBytes {
		return "", apricotwinch.Errorf(apricotwinch.Unauthenticated, "Authorization: the token is longer than %d bytes", MaxTokenBytes)
	}
	return token, nil
}

// CheckTeam returns an error of kind Forbidden unless principal may access the jobs,
// requests and answers of team, as the team itself and every operator may.
func CheckTeam(principal configurator.Principal, team string) error {
	if principal.IsOperator() || principal.Name() == team {
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Forbidden, "%s may not act for team %q", principal, team)
}

// CheckOperator returns an error of kind Forbidden unless principal is an operator.
func CheckOperator(principal configurator.Principal) error {
	if principal.IsOperator() {
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Forbidden, "%s is not an operator", principal)
}

func (a *Authenticator) count(name string) {
	metrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}
