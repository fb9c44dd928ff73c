package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Shape names the family of a service-time distribution.
type Shape string

// The shapes.
const (
	Const       Shape = "const"
	Exponential Shape = "exponential"
	Lognormal   Shape = "lognormal"
)

// Distribution describes the distribution of service times.
type Distribution struct {
	Shape Shape
	Mean  time.Duration
	// Sigma is the standard deviation of the logarithm of a lognormal time; the
	// other shapes ignore it.
	Sigma float64
}

// Validate returns an error that names the first invalid field, or nil.
func (d Distribution) Validate() error {
	switch d.Shape {
	case Const, Exponential, Lognormal:
	default:
		return errors.Errorf("distribution %q: expected const, exponential or lognormal", d.Shape)
	}
	if d.Mean <= 0 {
		return errors.Errorf("mean service time %v: expected a positive duration", d.Mean)
	}
	if d.Sigma < 0 {
		return errors.Errorf("sigma %v: expected 0 or more", d.Sigma)
	}
	return nil
}

// Draw returns one random service time.
func (d Distribution) Draw(r *rand.Rand) time.Duration {
	mean := float64(d.Mean)
	switch d.Shape {
	case Exponential:
		return time.Duration(r.ExpFloat64() * mean)
	case Lognormal:
		mu := math.Log(mean) - d.Sigma*d.Sigma/2
		return time.Duration(math.Exp(mu + d.Sigma*r.NormFloat64()))
	default:
		return d.Mean
	}
}

// NewRand returns a source of random numbers that the seed and the stream
// determine. Parts of one experiment use separate streams, so that their draws
// don't affect each other.
func NewRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
