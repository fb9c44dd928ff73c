package platformd_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatformd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformd")
}
