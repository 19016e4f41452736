package engine

import (
	"context"
	"net/http"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Order sends an order once, without retries, and returns when the engine confirms
// that it is done. The error has kind NotHolder if the engine has seen a higher
// fencing number. Its Ran is NotRun if the order was not sent or was refused for
// its fencing number.
func (c *Client) Order(ctx context.Context, to ident.Address, o engineapi.Order, s engineapi.OrderLimits) error {
	var response struct {
		ID   string `json:"order_id"`
		Done bool   `json:"done"`
	}
	limits := endpoint.Limits{ConnectDeadline: s.SendBy, SendDeadline: s.SendBy, DeliveryTimeout: s.DeliveryTimeout, ResponseDeadline: s.ConfirmBy}
	call, err := c.newShortCall(to, http.MethodPost, "/orders", o, limits)
	if err != nil {
		return err
	}
	call.BeforeSend = s.BeforeSend
	if err := c.doJSON(ctx, call, &response); err != nil {
		return err
	}
	if response.ID != o.ID || !response.Done {
		return fault.New(fault.AnswerBroken, "the engine did not confirm order %s", o.ID)
	}
	return nil
}

// State returns an engine's current state.
func (c *Client) State(ctx context.Context, to ident.Address) (engineapi.State, error) {
	var state engineapi.State
	err := c.doShortCall(ctx, to, http.MethodGet, "/state", nil, &state, c.shortCallLimits())
	return state, err
}
