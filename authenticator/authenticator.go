// Package authenticator tells whose token a caller presents and what it may reach.
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

// MaxTokenBytes is the greatest length of a token.
const MaxTokenBytes = 512

const (
	scheme          = "Bearer"
	counterOperator = "authenticator.operator"
	counterTeam     = "authenticator.team"
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// HashToken returns the SHA-256 of token in hexadecimal, the only form in which
// settings hold it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticator identifies callers by the tokens in the settings in force, and one
// operator by a token that a process knows from its own settings, so that the
// first edit can be made.
type Authenticator struct {
	operator     configurator.Principal
	operatorHash string
	registry     metrics.Registry
}

// New returns an authenticator that takes the token with operatorHash for the
// operator called operatorName; "" is the hash of no token. It fails with kind
// Invalid when operatorHash isn't 64 hexadecimal digits.
func New(operatorName, operatorHash string, registry metrics.Registry) (*Authenticator, error) {
	if operatorHash != "" && !hashPattern.MatchString(operatorHash) {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "operatorTokenHash: must be a SHA-256 of 64 lower-case hexadecimal digits")
	}
	return &Authenticator{operator: configurator.Operator(operatorName), operatorHash: operatorHash, registry: registry}, nil
}

// Authenticate returns who presents the Authorization header. It fails with kind
// Unauthenticated, in a text that doesn't hold the token.
func (a *Authenticator) Authenticate(view *configurator.View, header string) (configurator.Principal, error) {
	who, err := a.identify(view, header)
	if err != nil {
		a.count("authenticator." + apricotwinch.Unauthenticated.Answer().Counter())
		return configurator.Principal{}, err
	}
	if who.IsOperator() {
		a.count(counterOperator)
	} else {
		a.count(counterTeam)
	}
	return who, nil
}

func (a *Authenticator) identify(view *configurator.View, header string) (configurator.Principal, error) {
	token, err := parse(header)
	if err != nil {
		return configurator.Principal{}, err
	}
	hash := HashToken(token)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(a.operatorHash)) == 1 {
		return a.operator, nil
	}
	// The time of this look-up depends on the hash alone, which a caller can't steer
	// towards a stored one without knowing its token.
	if who, ok := view.Principal(hash); ok {
		return who, nil
	}
	return configurator.Principal{}, apricotwinch.Errorf(apricotwinch.Unauthenticated, "Authorization: the token is unknown")
}

// parse returns the token of an Authorization header.
func parse(header string) (string, error) {
	given, token, _ := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	if header == "" || !strings.EqualFold(given, scheme) || token == "" {
		return "", apricotwinch.Errorf(apricotwinch.Unauthenticated, "Authorization: must be %q and a token", scheme)
	}
	if len(token) > MaxTokenBytes {
		return "", apricotwinch.Errorf(apricotwinch.Unauthenticated, "Authorization: the token is over %d bytes", MaxTokenBytes)
	}
	return token, nil
}

// CheckTeam returns nil when who may reach the jobs, requests and answers of team,
// else an error of kind Forbidden.
func CheckTeam(who configurator.Principal, team string) error {
	if who.IsOperator() || who.Name() == team {
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Forbidden, "%s may not act for team %q", who, team)
}

// CheckOperator returns nil when who is an operator, else an error of kind
// Forbidden.
func CheckOperator(who configurator.Principal) error {
	if who.IsOperator() {
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Forbidden, "%s is no operator", who)
}

func (a *Authenticator) count(name string) {
	metrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}
