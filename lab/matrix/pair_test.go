package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"monsoonfork/lab/process"
)

var (
	pairCount = flag.Int("pairs", 4, "number of random pairs of events")
	pairSeed  = flag.Uint64("seed", 1, "seed of the first pair; each further one has the next seed")
)

// TestRandomPairs lets pairs of events overlap while requests are in all states. Each pair and
// its times are drawn from the seed in its name.
func TestRandomPairs(t *testing.T) {
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, parallelRuns)
	t.Run("seeds", func(t *testing.T) {
		for n := range *pairCount {
			seed := *pairSeed + uint64(n)
			random := rand.New(rand.NewPCG(seed, 0))
			pair := DrawPair(random)
			t.Run(fmt.Sprintf("%d-%s-%s", seed, pair[0], pair[1]), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				cells, err := RunPair(t.Context(), runner, fmt.Sprintf("pair-%d", seed), pair, random)
				if err != nil {
					t.Error(err)
				}
				reportCells(t, cells)
			})
		}
	})
	if err := runner.Close(); err != nil {
		t.Error(err)
	}
}
