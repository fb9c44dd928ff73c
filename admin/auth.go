package admin

import (
	"github.com/gofiber/fiber/v3"

	"github.com/chestnutfield/chestnutfield/internal/token"
)

// authorize rejects requests without the bearer token if one is configured.
// Client certificates were verified in the TLS handshake.
func (s *Server) authorize(c fiber.Ctx) error {
	if s.token.Empty() || s.token.MatchesHeader(c.Get(fiber.HeaderAuthorization)) {
		return c.Next()
	}
	c.Set(fiber.HeaderWWWAuthenticate, token.BearerScheme)
	return fiber.NewError(fiber.StatusUnauthorized, "a valid token is required")
}

// author returns the common name of the verified client certificate, or the
// given name when there is none.
func author(c fiber.Ctx, given string) string {
	if state := c.RequestCtx().TLSConnectionState(); state != nil && len(state.VerifiedChains) > 0 {
		return state.PeerCertificates[0].Subject.CommonName
	}
	return given
}
