package host

import (
	"context"
	"errors"

	"peridotpier.example/node/gate"
)

type noModels struct{}

func (noModels) Adapter(context.Context, string, string, string) error {
	return errors.New("no coordinator")
}
func (noModels) Demand(string, *gate.Facts) {}
