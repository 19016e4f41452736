// Package link is what roles need of the links between instances.
package link

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// ErrReplaced says that another process answers at the address of an instance: the one
// that was called has ended.
var ErrReplaced = errors.New("another process is at this address")

// Caller calls a method of another instance, or of this one, and fills resp. A missing
// deadline is set to two seconds from now. The error has kind PeerUnavailable when the
// instance cannot be reached or its process was replaced.
type Caller func(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error

// Remote is the instance that answered at an address.
type Remote struct {
	Instance ident.InstanceID
	Domain   ident.DomainID
}

// Handler answers one call of a method.
type Handler func(ctx context.Context, from ident.InstanceID, payload []byte) (proto.Message, error)

// Links is the calls between instances.
type Links struct {
	Call Caller
	// CallAddress is Call for an instance of which only the address is known.
	CallAddress func(ctx context.Context, address ident.Address, method string, req, resp proto.Message) (Remote, error)
	// Serve registers a method. Methods are registered while roles start.
	Serve func(method string, h Handler)
}

// Handle registers h for a method, such as "Budget.Take".
func Handle[Req any, ReqPtr interface {
	*Req
	proto.Message
}](l *Links, method string, h func(ctx context.Context, from ident.InstanceID, req ReqPtr) (proto.Message, error),
) {
	l.Serve(method, func(ctx context.Context, from ident.InstanceID, payload []byte) (proto.Message, error) {
		req := ReqPtr(new(Req))
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "malformed %s", method)
		}
		return h(ctx, from, req)
	})
}
