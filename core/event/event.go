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
	Answered                Event = iota // answered
	Refused                              // refused
	Failed                               // failed
	RefusalsSuppressed                   // refusals suppressed
	EngineFailed                         // engine failed
	PrefillFailed                        // prefill failed
	StreamStalled                        // stream stalled
	RetryingAtAnotherEngine              // retrying at another engine
	ReleaseFailed                        // release failed, will expire
	EngineCrashed                        // engine crashed under a request
	ContinuingAtBackup                   // continuing at the backup engine
	RunNotContinued                      // run not continued
	MoveTried                            // move of a run tried
	ContinuingMovedRun                   // continuing a moved run

	RequestDone         // request done
	RequestFailed       // request failed
	RequestRefused      // request refused
	AttemptFailed       // attempt failed, trying another engine
	EndpointFailed      // endpoint failed, trying another
	AbortUnacknowledged // abort not acknowledged
	OutcomeUnknown      // outcome of a call unknown
	OutcomeNotRecorded  // outcome of call not recorded

	Placed              // placed
	NotPlaced           // not placed
	Redirected          // redirected to another domain
	DispatcherStarted   // dispatcher started
	DispatcherRecovered // dispatcher recovered
	DispatcherStopped   // dispatcher stopped
	AbortingOrphan      // aborting orphaned attempt

	EngineChanged          // engine changed
	EngineListChanged      // engine list changed
	EngineAnnouncedLeaving // engine announced that it leaves
	EngineReturn           // engine that has left is listed as ready
	EngineReturns          // engines that have left are listed as ready
	EvacuationChanged      // evacuation of a failure domain changed
	EvacuationIgnored      // evacuation of an unknown failure domain ignored
	EnginePaused           // engine paused
	EnginePauseIgnored     // invalid pause of an engine ignored
	EngineLimited          // engine refuses at its limit
	AnswerMalformed        // malformed answer of an endpoint
	MalformedSuppressed    // malformed answers suppressed
	PartHeld               // part of prompts held back from engines
	PartTried              // part of prompts tried again
	PartReleased           // part of prompts released
	CrashesNotStored       // crashes not written to the store
	StageOrdered           // stage ordered
	NoticeIgnored          // invalid stage notice ignored
	OrderLeaseAcquired     // order lease acquired
	OrderLeaseNotAcquired  // order lease not acquired
	OrderLeaseLost         // order lease lost
	OrderSent              // order sent
	OrderUnconfirmed       // order not confirmed
	BecameController       // became controller
	NotController          // not the controller
	ControllerLost         // no longer the controller

	RateShareChanged        // rate share changed
	CollectorReachability   // collector reachability changed
	ExchangeFailed          // exchange with collector failed
	SlotClaimed             // slot claimed
	SlotClaimedWithoutStore // slot claimed without the store
	SlotResumedMinting      // slot resumed minting
	SlotNoLongerHeld        // slot no longer held

	ConfigurationApplied  // configuration applied
	ConfigurationRejected // configuration rejected
	PriorityOutOfRange    // priority out of range
	EngineEntryIgnored    // invalid engine entry ignored
	RegisterEntryIgnored  // invalid register entry ignored
	StoreItemIgnored      // invalid store item ignored
	RevisionInForce       // revision in force
	TextReadFailed        // reading the text failed
	InvalidPullReply      // invalid pull reply
	PullFailed            // pull failed
	HeadReadFailed        // reading the head failed
	HeadWatchFailed       // watching the head failed
	EditAccepted          // edit accepted
	EditNotAccepted       // edit not accepted

	StoreUnreachable        // store unreachable
	StoreReachableAgain     // store reachable again
	HistoryCompacted        // store history compacted, listing again
	StoreEraBegun           // store came back from an older copy
	StoreEraDecreased       // store era decreased, answer ignored
	FollowingChanged        // following of the store changed
	CopyOutdated            // copy of the store's contents is outdated
	CopyCurrentAgain        // copy of the store's contents is current again
	RegistrationFailed      // registration failed
	MemberStateChanged      // member state changed
	PeerRecordIgnored       // invalid record of an instance ignored
	InstanceListUnavailable // instance list unavailable
	HandshakeFailed         // handshake failed
	ReplyNotSent            // reply not sent

	Serving                // serving
	SettingsReloaded       // settings reloaded
	SettingsRejected       // settings rejected
	RoleStarted            // role started
	StopRequested          // stop requested
	Draining               // draining
	DrainFailed            // drain failed
	CloseFailed            // close failed
	ShutdownFailed         // operator server shutdown failed
	Stopped                // stopped
	AnswerEncodingFailed   // encoding the answer failed
	LinesDropped           // log lines dropped
	InvariantViolated      // invariant violated
	PanicContained         // panic contained
	PollerSlow             // poller did not respond in time
	HandlerPanicked        // panic in a request handler
	RejectingConnections   // rejecting new connections
	RequestMemoryExhausted // refusing requests for lack of memory
	RequestCrossedClose    // request crossed the close of its connection
	CallerEnded            // caller ended, has not read its answer

	eventCount // Number of events; keep last.
)
