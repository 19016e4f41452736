// Package link defines the interface to the connections (links) between instances: remote
// calls as function fields, and the registration of methods.
package link

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// ErrReplaced reports that another process answers at the address of an instance, which
// means that the process of the called instance has ended.
var ErrReplaced = errors.New("another process is at this address")

// CallFunc calls a method of another instance, or of this one, and fills resp. A missing
// deadline is set to two seconds from now. The error has kind PeerUnavailable if the
// instance can't be reached or its process was replaced.
type CallFunc func(ctx context.Context, to ident.InstanceID, method string, req, resp proto.Message) error

// Remote identifies the instance that answered at an address.
type Remote struct {
	Instance ident.InstanceID
	Domain   ident.DomainID
}

// Handler serves one call of a method: from is the calling instance, payload the encoded
// request.
type Handler func(ctx context.Context, from ident.InstanceID, payload []byte) (proto.Message, error)

// Links holds the functions for calls between instances.
type Links struct {
	Call CallFunc
	// CallAddress calls a method like Call, at an address whose instance is not known yet.
	CallAddress func(ctx context.Context, address ident.Address, method string, req, resp proto.Message) (Remote, error)
	// Serve registers the handler of a method. Roles call it while they start.
	Serve func(method string, h Handler)
	// CloseSession closes the session to an address. The next call opens another one.
	CloseSession func(address ident.Address)
	// UseMembers sets, before the first call, how the addresses of instances are found, and
	// what is called after each call by Call that failed with PeerUnavailable. The latter must
	// not block.
	UseMembers func(addressOf func(ident.InstanceID) (ident.Address, bool), unreachable func(ident.InstanceID, error))
}

// Handle registers h as the handler of a method, such as "Budget.Take", and decodes its
// requests.
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
