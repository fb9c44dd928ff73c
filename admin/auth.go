package admin

import (
	"github.com/gofiber/fiber/v3"

	"github.com/chestnutfield/chestnutfield/internal/token"
)

// authorize lets a request pass when it carries the token, if there is one.
// Client certificates were checked when the connection was made.
func (s *Server) authorize(c fiber.Ctx) error {
	if s.token.Empty() || s.token.MatchesHeader(c.Get(fiber.HeaderAuthorization)) {
		return c.Next()
	}
	c.Set(fiber.HeaderWWWAuthenticate, token.BearerScheme)
	return fiber.NewError(fiber.StatusUnauthorized, "a valid token is required")
}

// author is the name of the client certificate, else the name given.
func author(c fiber.Ctx, given string) string {
	if state := c.RequestCtx().TLSConnectionState(); state != nil && len(state.VerifiedChains) > 0 {
		return state.PeerCertificates[0].Subject.CommonName
	}
	return given
}
