// Package token checks secret tokens that requests carry. A Token keeps only
// the SHA-256 of the text, and a check takes a time that depends on the length
// of what was given and not on the secret.
package token

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
)

// BearerScheme is the authorization scheme of tokens (RFC 6750).
const BearerScheme = "Bearer"

const bearerPrefix = BearerScheme + " "

// Bearer returns the value of an Authorization header that carries the token.
func Bearer(text string) string { return bearerPrefix + text }

// Token is the token that is expected of requests.
type Token struct {
	sum   [sha256.Size]byte
	empty bool
}

// New returns the Token of a text.
func New(text string) Token {
	return Token{sum: sha256.Sum256([]byte(text)), empty: text == ""}
}

// Empty reports whether the text of the token is "".
func (t Token) Empty() bool { return t.empty }

// Matches reports whether given is the text of the token.
func (t Token) Matches(given []byte) bool {
	sum := sha256.Sum256(given)
	return subtle.ConstantTimeCompare(sum[:], t.sum[:]) == 1
}

// MatchesHeader reports whether the value of an Authorization header carries
// the token.
func (t Token) MatchesHeader(value string) bool {
	given, ok := strings.CutPrefix(value, bearerPrefix)
	return t.Matches([]byte(given)) && ok
}
