package platformd_test

import (
	"github.com/onsi/gomega/gcustom"
	gomegatypes "github.com/onsi/gomega/types"
	"github.com/pkg/errors"
)

// MatchErrorType matches an error for which errors.As succeeds, and sets target.
func MatchErrorType(target any) gomegatypes.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return err != nil && errors.As(err, target), nil
	}).WithMessage("hold an error of the wanted type")
}
