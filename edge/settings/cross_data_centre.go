package settings

import "github.com/cockroachdb/errors"

// CrossDataCentre configures when requests leave their data centre.
type CrossDataCentre struct {
	// Plan is PlanAuto or PlanFixed. Default PlanFixed.
	Plan string `json:"plan"`
	// PricePerGB is the price of 1e9 bytes sent to another data centre, in lost requests.
	// Default: 0.008 for each kilobyte of 1024 bytes.
	PricePerGB float64 `json:"pricePerGB"`
}

const (
	// PlanFixed: each request weighs the servers by a fixed cost of leaving.
	PlanFixed = "fixed"
	// PlanAuto: the shares that leave are planned from demand and capacity if most instances
	// have slow links; otherwise the fixed cost applies.
	PlanAuto = "auto"

	defaultPricePerGB = 0.008 * 1e9 / 1024
)

// PricePerKB returns the price of 1024 bytes in lost requests.
func (c CrossDataCentre) PricePerKB() float64 { return c.PricePerGB * 1024 / 1e9 }

func (c CrossDataCentre) check() error {
	if c.Plan != PlanFixed && c.Plan != PlanAuto {
		return errors.Newf("settings: crossDataCentre.plan must be %q or %q", PlanFixed, PlanAuto)
	}
	if c.PricePerGB < 0 {
		return errors.New("settings: crossDataCentre.pricePerGB must not be negative")
	}
	return nil
}
