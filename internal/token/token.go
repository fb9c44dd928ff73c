// Package token checks the secret tokens that requests carry. A Token stores
// only the SHA-256 hash of the secret. The time of a check depends on the length
// of the text to check but not on the secret, so that it reveals nothing of it.
package token

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
)

// BearerScheme is the authorization scheme of the tokens (RFC 6750).
const BearerScheme = "Bearer"

const bearerPrefix = BearerScheme + " "

// Bearer returns the value of an Authorization header that carries text as its
// token.
func Bearer(text string) string { return bearerPrefix + text }

// Token is the hash of the secret text that requests are expected to carry.
type Token struct {
	sum   [sha256.Size]byte
	empty bool
}

// New returns the Token for a secret text; "" gives an empty Token.
func New(text string) Token {
	return Token{sum: sha256.Sum256([]byte(text)), empty: text == ""}
}

// Empty reports whether the secret text is "".
func (t Token) Empty() bool { return t.empty }

// Matches reports whether given is the secret text.
func (t Token) Matches(given []byte) bool {
	sum := sha256.Sum256(given)
	return subtle.ConstantTimeCompare(sum[:], t.sum[:]) == 1
}

// MatchesHeader reports whether the value of an Authorization header consists of
// the scheme Bearer and the secret text. An empty Token matches no value
// without the scheme.
func (t Token) MatchesHeader(value string) bool {
	given, ok := strings.CutPrefix(value, bearerPrefix)
	return t.Matches([]byte(given)) && ok
}
