package matrix

import (
	"context"
	"errors"
	"fmt"
	"time"

	"monsoonfork/platform/standin"
)

//go:generate stringer -type=Event -output=event_string.go

// Event is what happens while requests are in their states.
type Event int

// The events.
const (
	RouteRemoved         Event = iota // All routes are taken away.
	RouteMoved                        // All routes lead to other services.
	RouteRenamed                      // All routes have other names.
	ServiceRemoved                    // All routes lead to other services, and the old ones are taken away.
	TimeoutShorter                    // The timeouts of all routes are shorter.
	HeadTimeShorter                   // Heads must be sent in a shorter time.
	IdleTimeShorter                   // Idle connections are kept for a shorter time.
	HeaderLimitSmaller                // Heads as large as those of the requests are not allowed any more.
	BodyLimitSmaller                  // Bodies as large as those of the requests are not allowed any more.
	ConnectionsFewer                  // Engines accept one connection.
	RoutesSplit                       // Half of the requests go to other services.
	KeyWithdrawn                      // The key of the requests is withdrawn.
	RateLowered                       // The organisation's rate is lowered to almost nothing.
	ManyRoutes                        // Many routes are added.
	ConfigurationStorm                // Configurations and SIGHUP come in quick succession.
	Hangup                            // SIGHUP.
	StopRequested                     // SIGTERM; the requests continue soon after it.
	StopDraining                      // SIGTERM; the requests continue when the instance drains.
	StopOutlasted                     // SIGTERM; the engines do not continue before the instance has ended.
	StopDuringChange                  // SIGTERM together with RouteMoved.
	ChangeStoreAway                   // A change, and the store is away from then on.
	ChangeStoreSlow                   // A change while the store is slow.
	StopStoreAway                     // SIGTERM while the store is away.
	StopStoreSlow                     // SIGTERM while the store is slow.
	EngineDraining                    // The entries of engines that hold requests say draining.
	EngineRemoved                     // The entries of engines that hold requests are removed.
	EngineSilent                      // All engines send nothing for 1.5 s.
	Suspended                         // The process is suspended for 2 s.
	SuspendedAmidAnswers              // The same, and the engines continue meanwhile.

	eventCount
)

// Times of the events.
const (
	shortPlainTimeout  = time.Second
	shortStreamTimeout = 2 * time.Second
	shortHeadTime      = 300 * time.Millisecond
	shortIdleTime      = 300 * time.Millisecond
	smallLimitBytes    = 64
	limitGrace         = 1300 * time.Millisecond // After a change of limits; then earlier ones apply to no new request.
	settleTime         = 300 * time.Millisecond
	stopSettle         = 600 * time.Millisecond  // Less than the instance waits for the balancer.
	drainSettle        = 3500 * time.Millisecond // More than that.
	silenceTime        = 1500 * time.Millisecond
	suspension         = 2 * time.Second
	storeDelay         = 400 * time.Millisecond
	storeAwayTime      = time.Second
	manyRoutes         = 500
	stormSteps         = 20
	stormGap           = 40 * time.Millisecond
	stormHangups       = 5
)

// steps are the steps of an event. Between begin and end what is missing of the requests is
// sent; after end the engines continue.
type steps struct {
	begin func(ctx context.Context, f *fleet) error
	end   func(f *fleet) error // Nil for none.

	enginesFirst bool // The engines continue before end.
}

// eventSteps returns the steps of an event.
func (e Event) eventSteps() steps {
	switch e {
	case RouteRemoved:
		return change(func(c *standin.Configuration) {
			c.Routes = []standin.Route{{Host: routeHost, Prefix: "/rest/"}}
		}, settleTime)
	case RouteMoved:
		return change(moveRoutes, settleTime)
	case RouteRenamed:
		return change(changeRoutes(func(r *standin.Route) { r.Name = "renamed" + r.Prefix }), settleTime)
	case ServiceRemoved:
		return change(removeServices, settleTime)
	case TimeoutShorter:
		return steps{begin: shortenTimeouts, end: func(*fleet) error { time.Sleep(shortStreamTimeout + lateSlack); return nil }}
	case HeadTimeShorter:
		return change(func(c *standin.Configuration) { c.Limits.HeaderTimeout = shortHeadTime }, limitGrace)
	case IdleTimeShorter:
		return change(func(c *standin.Configuration) { c.Limits.IdleTimeout = shortIdleTime }, limitGrace)
	case HeaderLimitSmaller:
		return change(func(c *standin.Configuration) { c.Limits.HeaderBytes = smallLimitBytes }, limitGrace)
	case BodyLimitSmaller:
		return change(func(c *standin.Configuration) { c.Limits.BodyBytes = smallLimitBytes }, limitGrace)
	case ConnectionsFewer:
		return change(func(c *standin.Configuration) { c.MaxConnections = 1 }, settleTime)
	case RoutesSplit:
		return change(changeRoutes(func(r *standin.Route) { r.SplitService = otherService(*r) }), settleTime)
	case KeyWithdrawn:
		return change(func(c *standin.Configuration) { c.Organisations = c.Organisations[1:] }, settleTime)
	case RateLowered:
		return change(lowerRate, settleTime)
	case ManyRoutes:
		return change(addRoutes("many", manyRoutes), settleTime)
	case ConfigurationStorm:
		return steps{begin: storm}
	case Hangup:
		return steps{begin: hangup}
	default:
		return e.faultSteps()
	}
}

// faultSteps returns the steps of an event that is more than a change or SIGHUP.
func (e Event) faultSteps() steps {
	switch e {
	case StopRequested:
		return steps{begin: stop(stopSettle)}
	case StopDraining:
		return steps{begin: stop(drainSettle)}
	case StopOutlasted:
		return steps{begin: stop(stopSettle), end: awaitEnd}
	case StopDuringChange:
		return steps{begin: func(ctx context.Context, f *fleet) error {
			if err := f.configure(moveRoutes); err != nil {
				return err
			}
			return stop(stopSettle)(ctx, f)
		}}
	case ChangeStoreAway:
		return steps{begin: changeStoreAway, end: func(f *fleet) error { return f.storeLink.Accept() }}
	case ChangeStoreSlow:
		return steps{begin: changeStoreSlow, end: healStore}
	case StopStoreAway:
		return steps{begin: func(ctx context.Context, f *fleet) error { f.storeLink.Refuse(); return stop(stopSettle)(ctx, f) }}
	case StopStoreSlow:
		return steps{begin: func(ctx context.Context, f *fleet) error {
			f.storeLink.Delay(storeDelay)
			return stop(stopSettle)(ctx, f)
		}}
	case EngineDraining:
		return steps{begin: eachLeaving(func(_ *fleet, e *standin.Engine) error { return e.Drain() })}
	case EngineRemoved:
		return steps{begin: eachLeaving(func(f *fleet, e *standin.Engine) error { f.store.DeleteEngine(e.ID); return nil })}
	case EngineSilent:
		return steps{begin: silenceEngines, end: func(*fleet) error { time.Sleep(silenceTime - settleTime); return nil }}
	case Suspended, SuspendedAmidAnswers:
		return steps{begin: suspend, end: resume, enginesFirst: e == SuspendedAmidAnswers}
	default:
		return steps{begin: func(context.Context, *fleet) error { return fmt.Errorf("event %v has no steps", e) }}
	}
}

// change returns the steps of a change of the configuration that is in force for a time before
// the rest of the requests is sent.
func change(to func(*standin.Configuration), settle time.Duration) steps {
	return steps{begin: func(ctx context.Context, f *fleet) error {
		if err := f.configure(to); err != nil {
			return err
		}
		if err := f.awaitConfiguration(ctx); err != nil {
			return err
		}
		time.Sleep(settle)
		return nil
	}}
}

// moveRoutes makes all routes lead to other services.
func moveRoutes(c *standin.Configuration) {
	changeRoutes(func(r *standin.Route) { r.Service = otherService(*r) })(c)
}

// removeServices makes all routes lead to other services and takes the old ones away.
func removeServices(c *standin.Configuration) {
	moveRoutes(c)
	c.ModelServices, c.OnlyFurtherServices = []string{otherModel}, true
}

// shortenTimeouts makes the timeouts of all routes shorter. The requests that come after that
// are held by engines until their timeouts have passed.
func shortenTimeouts(ctx context.Context, f *fleet) error {
	for _, c := range f.calls {
		if !c.row.sentWhole() {
			f.engines.Holds.Add(c.request.ID, standin.BeforeAnswer)
		}
	}
	return change(changeRoutes(shortenTimeout), settleTime).begin(ctx, f)
}

// shortenTimeout makes the timeout of a route shorter.
func shortenTimeout(r *standin.Route) {
	r.Timeout = shortPlainTimeout
	if r.Stream {
		r.Timeout = shortStreamTimeout
	}
}

// lowerRate lowers the rate of the requests' organisation to almost nothing.
func lowerRate(c *standin.Configuration) {
	lowered := c.Organisations[0]
	lowered.Rate, lowered.Burst = 1, 1
	c.Organisations = append([]standin.Organisation{lowered}, c.Organisations[1:]...)
}

// storm writes configurations in quick succession, with SIGHUPs.
func storm(ctx context.Context, f *fleet) error {
	for n := range stormSteps {
		if err := f.configure(addRoutes(fmt.Sprintf("storm-%d", n), 1)); err != nil {
			return err
		}
		for range stormHangups {
			if err := f.process.Hangup(); err != nil {
				return err
			}
		}
		time.Sleep(stormGap)
	}
	return f.awaitConfiguration(ctx)
}

// hangup sends SIGHUP, and waits until it is handled.
func hangup(ctx context.Context, f *fleet) error {
	if err := f.process.Hangup(); err != nil {
		return err
	}
	return f.awaitLog(ctx, `msg="settings reloaded"`)
}

// stop returns the step that sends SIGTERM and then waits.
func stop(settle time.Duration) func(context.Context, *fleet) error {
	return func(ctx context.Context, f *fleet) error {
		if err := f.process.Terminate(); err != nil {
			return err
		}
		err := f.awaitLog(ctx, `msg="stop requested"`)
		time.Sleep(settle)
		return err
	}
}

// awaitEnd waits until the instance has ended.
func awaitEnd(f *fleet) error {
	select {
	case <-f.process.Ended():
		return nil
	case <-time.After(stopS*time.Second + exitSlack):
		return errors.New("the instance has not ended in time")
	}
}

// changeStoreAway writes a change and takes the store away.
func changeStoreAway(_ context.Context, f *fleet) error {
	err := f.configure(moveRoutes)
	f.storeLink.Refuse()
	time.Sleep(storeAwayTime)
	return err
}

// changeStoreSlow makes the store slow and writes a change.
func changeStoreSlow(ctx context.Context, f *fleet) error {
	f.storeLink.Delay(storeDelay)
	if err := f.configure(moveRoutes); err != nil {
		return err
	}
	return f.awaitConfiguration(ctx)
}

// healStore ends the delay of the store.
func healStore(f *fleet) error {
	f.storeLink.Delay(0)
	return nil
}

// eachLeaving returns the step that makes half of the engines leave.
func eachLeaving(leave func(*fleet, *standin.Engine) error) func(context.Context, *fleet) error {
	return func(_ context.Context, f *fleet) error {
		for _, e := range f.leaving {
			if err := leave(f, e); err != nil {
				return err
			}
		}
		time.Sleep(settleTime)
		return nil
	}
}

// silenceEngines makes all engines send nothing for silenceTime.
func silenceEngines(_ context.Context, f *fleet) error {
	for _, e := range f.started {
		e.Pause(silenceTime)
	}
	time.Sleep(settleTime)
	return nil
}

// suspend suspends the process, and returns after half of the suspension.
func suspend(_ context.Context, f *fleet) error {
	err := f.process.Pause()
	time.Sleep(suspension / 2)
	return err
}

// resume ends the suspension.
func resume(f *fleet) error {
	time.Sleep(suspension / 2)
	return f.process.Resume()
}
