package callerapi

import (
	"net/http"

	"peridotpier.example/core/fault"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"` // base model of an adapter
}

// models lists the models and adapters that the caller's team may use.
func (a *API) models(c *call) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.state.Index.Models {
		if item, ok := a.item(c, m.Name); ok {
			list.Data = append(list.Data, item)
		}
	}
	for _, ad := range c.state.Index.Adapters {
		if item, ok := a.item(c, ad.Name); ok {
			list.Data = append(list.Data, item)
		}
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) model(c *call) error {
	item, ok := a.item(c, c.Param("model"))
	if !ok {
		return fault.NotRun(fault.StepParse, "", fault.CodeModelNotFound, "there is no model %q for your team", c.Param("model"))
	}
	return c.JSON(http.StatusOK, item)
}

func (a *API) item(c *call, name string) (modelItem, bool) {
	t, ok := c.state.Index.Target(c.team.Name, name)
	if !ok {
		return modelItem{}, false
	}
	item := modelItem{ID: name, Object: "model", OwnedBy: c.state.Index.Site}
	if t.Adapter != "" {
		item.Parent = t.Model
	}
	return item, true
}
