package plans

import (
	"math"

	"chervilgauge.example/chervilgauge/internal/fleet/spare"
	"chervilgauge.example/chervilgauge/internal/setup/config"
)

// Weights returns the weights of the spare policy for the settings. A buffer of 0.8 with a flood of
// 0.2 gives spare.IdleCostWeights, the reverse gives spare.KeptWorkWeights. Between and beyond the
// two, each cost grows exponentially with buffer minus flood, so that equal settings give the
// geometric mean. Only the difference of the settings counts.
func Weights(s config.Spare) spare.Weights {
	const span = 0.6 // buffer minus flood is span for IdleCostWeights and -span for KeptWorkWeights
	from, to := spare.KeptWorkWeights(), spare.IdleCostWeights()
	at := (s.Buffer - s.Flood + span) / (2 * span)
	between := func(a, b float64) float64 { return a * math.Pow(b/a, at) }
	return spare.Weights{
		Keep:    between(from.Keep, to.Keep),
		Buffer:  between(from.Buffer, to.Buffer),
		Rollout: between(from.Rollout, to.Rollout),
		Move:    between(from.Move, to.Move),
	}
}
