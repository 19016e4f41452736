package store

//go:generate stringer -type=Outcome,callKind -trimprefix=call -output=store_string.go

// Outcome says what is known about a write.
type Outcome int

// The outcomes. The zero value claims nothing.
const (
	Unknown    Outcome = iota // The write may have taken effect.
	Written                   // The write took effect.
	Conflict                  // The store refused it: the index or the lock is another.
	NotWritten                // It did not reach the store, or the store refused to try.
)

// callKind is a kind of call that is counted.
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
	kindCount // Number of kinds; keep last.
)
