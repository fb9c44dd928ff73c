package loadgen_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoadgen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadgen")
}
