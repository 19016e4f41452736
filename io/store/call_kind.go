package store

//go:generate stringer -type=callKind -trimprefix=call -output=store_string.go

// callKind is a kind of call. Calls are counted by kind.
type callKind int

const (
	callGet callKind = iota
	callList
	callWatch
	callCompareAndSwap
	callPut
	callDelete
	callLeaseCreate
	callLeaseRenew
	callLeaseDestroy
	callAcquire
	callRelease
	kindCount // Number of kinds; must be last.
)
