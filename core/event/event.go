// Package event defines the closed list of log events: the values of the field msg of
// log lines, with the meaning and the further fields of each.
package event

//go:generate stringer -type=Event -linecomment -output=event_string.go
//go:generate stringer -type=Subsystem -trimprefix=Subsystem -output=subsystem_string.go

// Event identifies the kind of a log line. Its String is the value of the field msg.
type Event int

// The events, in the order of the reference. The line comment of each is its text in
// the field msg.
const (
	Answered         Event = iota // answered
	Refused                       // refused
	Failed                        // failed
	RefusalsNotShown              // refusals not shown
	EngineFailed                  // engine failed
	PrefillFailed                 // prefill failed
	AnotherEngine                 // another engine
	NotGivenBack                  // not given back, will lapse

	RequestDone         // request done
	RequestFailed       // request failed
	RequestRefused      // request refused
	AttemptFailed       // attempt failed, trying another engine
	EndpointFailed      // endpoint failed, trying another
	AbortUnacknowledged // abort not acknowledged
	OutcomeUnknown      // outcome of a call unknown
	EntryNotRecorded    // entry not recorded

	Placed            // placed
	NotPlaced         // not placed
	SentElsewhere     // sent elsewhere
	DispatcherStarted // dispatcher started
	DispatcherLearned // dispatcher learned
	DispatcherStopped // dispatcher stopped
	FreeingMemory     // freeing engine memory

	Engine           // engine
	EngineList       // engine list
	StageOrdered     // stage ordered
	NoticePassedOver // notice passed over
	RightToOrder     // right to give orders
	NoRightToOrder   // no right to give orders
	Order            // order
	OrderUnconfirmed // order not confirmed
	Controller       // controller of the domain
	NotController    // not the controller
	ControllerLost   // no longer the controller

	PartOfRates      // part of rates
	Collector        // collector
	NoExchange       // no exchange
	SlotClaimed      // slot claimed
	SlotClaimedAlone // slot claimed without the store
	SlotMinting      // slot minting again
	SlotLost         // slot lost

	Configuration          // configuration
	ConfigurationNotTaken  // configuration not taken
	EntryPassedOver        // entry passed over
	RegistrationPassedOver // register entry passed over
	RevisionInForce        // revision in force
	TextNotRead            // text not read
	PulledTextRefused      // pulled text refused
	PullUnanswered         // no answer to a pull
	ReadFailed             // read failed
	WatchFailed            // watch failed
	EditAccepted           // edit accepted
	EditNotAccepted        // edit not accepted

	StoreLost     // store lost
	StoreRegained // store regained
	HistoryGone   // store history gone, listing anew
	Following     // following the store
	Registration  // registration
	Member        // member
	InstanceList  // instance list
	HelloFailed   // hello failed
	ReplyNotSent  // reply not sent

	Serving           // serving
	Settings          // settings
	SettingsNotTaken  // settings not taken
	RoleStarted       // role started
	StopAskedFor      // stop asked for
	Draining          // draining
	DrainFailed       // drain
	CloseFailed       // close
	ShutdownFailed    // shutdown
	Stopped           // stopped
	AnswerNotEncoded  // encode answer
	LinesDropped      // log lines dropped
	InvariantViolated // invariant violated

	eventCount // Number of events; keep last.
)
