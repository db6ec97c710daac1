package server

import (
	"context"

	"peridotpier.example/core/route"
	"peridotpier.example/node/admission"
	"peridotpier.example/node/callerapi"
)

// admitter lets the callers' interface use the admission controller.
type admitter struct{ c *admission.Controller }

// Admit implements callerapi.Admission.
func (a admitter) Admit(ctx context.Context, r callerapi.AdmitRequest) (func(), error) {
	t, err := a.c.Admit(ctx, admission.Request{Team: r.Team, Class: r.Class, Pool: r.Pool,
		Key: route.ModelKey{Model: r.Target}, Deadline: r.Deadline})
	if err != nil {
		return nil, err
	}
	return t.Release, nil
}
