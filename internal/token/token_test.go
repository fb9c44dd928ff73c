package token_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/internal/token"
)

func TestToken(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "token")
}

var _ = DescribeTable("MatchesHeader compares the whole header value", func(expected, value string, ok bool) {
	Expect(token.New(expected).MatchesHeader(value)).To(Equal(ok))
},
	Entry("right", "secret", token.Bearer("secret"), true),
	Entry("another", "secret", "Bearer other!", false),
	Entry("a prefix", "secret", "Bearer secre", false),
	Entry("more", "secret", "Bearer secret ", false),
	Entry("no scheme", "secret", "secret", false),
	Entry("another scheme", "secret", "Basic secret", false),
	Entry("none", "secret", "", false),
	Entry("none, for the empty token", "", "", false),
)

var _ = DescribeTable("Matches compares the whole token", func(expected, given string, ok bool) {
	Expect(token.New(expected).Matches([]byte(given))).To(Equal(ok))
},
	Entry("right", "secret", "secret", true),
	Entry("a prefix", "secret", "secre", false),
	Entry("none", "secret", "", false),
	Entry("none, for the empty token", "", "", true),
	Entry("one, for the empty token", "", "secret", false),
)
