package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/gofiber/fiber/v3"
)

const bearer = "Bearer "

// authorize lets a request pass when it carries the token, if there is one.
// Client certificates were checked when the connection was made.
func (s *Server) authorize(c fiber.Ctx) error {
	if s.opts.Token == "" || sameToken(c.Get(fiber.HeaderAuthorization), s.opts.Token) {
		return c.Next()
	}
	c.Set(fiber.HeaderWWWAuthenticate, strings.TrimSpace(bearer))
	return fiber.NewError(fiber.StatusUnauthorized, "a valid token is required")
}

// sameToken compares in time that depends on neither value.
func sameToken(header, token string) bool {
	given, ok := strings.CutPrefix(header, bearer)
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok
}

// author is the name of the client certificate, else the name given.
func author(c fiber.Ctx, given string) string {
	if state := c.RequestCtx().TLSConnectionState(); state != nil && len(state.VerifiedChains) > 0 {
		return state.PeerCertificates[0].Subject.CommonName
	}
	return given
}
