package workload_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/lab/workload"
)

var _ = Describe("Compare", func() {
	It("tells complete, truncated and other bodies apart", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			token := rapid.StringMatching(`[a-z0-9]{4,20}`).Draw(t, "token")
			size := rapid.IntRange(len(token), 5000).Draw(t, "size")
			body := workload.ResponseBody(token, size)
			cut := rapid.IntRange(0, size-1).Draw(t, "cut")
			if len(body) != size || workload.Compare(token, size, body) != workload.Complete {
				t.Fatalf("body of %d bytes does not match its own token", len(body))
			}
			if got := workload.Compare(token, size, body[:cut]); got != workload.Truncated {
				t.Fatalf("body cut at %d: got %v, expected Truncated", cut, got)
			}
			if got := workload.Compare(token, size, workload.ResponseBody("A"+token, size)); got != workload.Mismatch {
				t.Fatalf("body of another token: got %v, expected Mismatch", got)
			}
		})
	})
})

var _ = DescribeTable("service times have the requested mean",
	func(shape workload.Shape) {
		d := workload.Distribution{Shape: shape, Mean: 20 * time.Millisecond, Sigma: 0.5}
		Expect(d.Validate()).To(Succeed())
		r := workload.NewRand(7, 1)
		var sum time.Duration
		const draws = 50_000
		for range draws {
			sum += d.Draw(r)
		}
		Expect(sum / draws).To(BeNumerically("~", d.Mean, 400*time.Microsecond))
	},
	Entry(nil, workload.Const), Entry(nil, workload.Exponential), Entry(nil, workload.Lognormal),
)

var _ = DescribeTable("invalid distributions are refused",
	func(d workload.Distribution, want string) {
		Expect(d.Validate()).To(MatchError(ContainSubstring(want)))
	},
	Entry("shape", workload.Distribution{Shape: "bell", Mean: 1}, "expected const, exponential or lognormal"),
	Entry("mean", workload.Distribution{Shape: workload.Const}, "expected a positive duration"),
	Entry("sigma", workload.Distribution{Shape: workload.Lognormal, Mean: 1, Sigma: -1}, "expected 0 or more"),
)
