package share

import (
	"monsoonfork/core/admission"
	"monsoonfork/core/ident"
)

// usage is how many tokens of an organisation were admitted, and asked for by how many requests.
type usage struct {
	admitted, asked, requests int64
	byClass                   classTokens // The part of asked whose class is known.
}

// classTokens is a number of tokens for each class of requests.
type classTokens [admission.Classes]int64

// usageOf returns the usage in a message.
func usageOf(u *Usage) usage {
	own := usage{admitted: u.GetTokens(), asked: u.GetAsked(), requests: u.GetRequests()}
	copy(own.byClass[:], u.GetAskedByPriority())
	return own
}

// message returns the message for the usage of an organisation.
func (u usage) message(name ident.OrganisationID) *Usage {
	known := len(u.byClass)
	for known > 0 && u.byClass[known-1] == 0 {
		known--
	}
	return &Usage{Organisation: string(name), Tokens: u.admitted, Asked: u.asked, Requests: u.requests, AskedByPriority: u.byClass[:known]}
}

// plus returns the sum of two usages.
func (u usage) plus(v usage) usage {
	sum := usage{admitted: u.admitted + v.admitted, asked: u.asked + v.asked, requests: u.requests + v.requests}
	for c := range sum.byClass {
		sum.byClass[c] = u.byClass[c] + v.byClass[c]
	}
	return sum
}

// minus returns the difference of two usages.
func (u usage) minus(v usage) usage {
	difference := usage{admitted: u.admitted - v.admitted, asked: u.asked - v.asked, requests: u.requests - v.requests}
	for c := range difference.byClass {
		difference.byClass[c] = u.byClass[c] - v.byClass[c]
	}
	return difference
}
