package upstreamd_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpstreamd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamd")
}
