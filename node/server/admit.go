package server

import (
	"context"

	"peridotpier.example/node/admission"
	"peridotpier.example/node/callerapi"
)

// admitter adapts the admission controller to callerapi.Admission.
type admitter struct {
	c        *admission.Controller
	admitAll bool // admits every request at once
}

// Admit implements callerapi.Admission.
func (a admitter) Admit(ctx context.Context, r callerapi.AdmitRequest) (func(), error) {
	if a.admitAll {
		return func() {}, nil
	}
	t, err := a.c.Admit(ctx, admission.Request{Team: r.Team, Class: r.Class, Pool: r.Pool, Deadline: r.Deadline})
	if err != nil {
		return nil, err
	}
	return t.Release, nil
}
